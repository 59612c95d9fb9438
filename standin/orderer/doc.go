// Package orderer serves a plain order and stock service; its ledger counts the runs of each booking.
package orderer
