// Package table is the client of the platform's transactional table service.
//
// Every transaction carries an id, which is stored in each row that it writes. When
// an answer is lost, a row is read back, and the id shows whether the transaction took
// effect. Callers get ErrOutcomeUnknown only if this can't be found out in time.
package table
