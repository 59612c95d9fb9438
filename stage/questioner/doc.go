// Package questioner turns the answers to a questionnaire into checked settings of every process and a first configuration.
package questioner
