// Package budgeter divides the bytes that a process may buffer among its connections: who gets room, who waits, and who is refused
// when there is none.
//
// Callers outside of every limit ended a process by many request bodies that stopped just short of their end. A budget therefore
// counts what was received, not what was announced, and prefers the connection that holds little to the one that holds most.
package budgeter
