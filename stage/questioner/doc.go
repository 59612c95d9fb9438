// Package questioner generates the settings of every process and a first configuration from answers to a questionnaire.
package questioner
