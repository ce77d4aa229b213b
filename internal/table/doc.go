// Package table is the adapter of the platform's transactional table service.
//
// Every transaction carries an id, which is stored in each row that it writes.
// When an answer is lost, the rows are read back: the id says whether the
// transaction took effect. Callers of this package never guess.
package table
