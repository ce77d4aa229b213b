// Command stand runs one case of the review: it starts nodes of the program beside stand-ins of the platform's
// store, the workers and the clients, disturbs them, and checks one rule. It exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run.
package main
