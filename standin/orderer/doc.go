// Package orderer serves a plain order and stock service whose ledger counts how often each booking ran.
package orderer
