// Package governor is the control process of a deployment whose backend servers and operator speak to control itself: a
// replica of the control log that finds its group by itself, and the leader's placement of adapters.
//
// Entries keep one stream to the leader. They get the operator's document, the adapters' versions and the backend
// servers, and tell what they use and miss.
package governor
