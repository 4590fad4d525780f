// Package peridotanswer checks what HTTP/1.1 clients read from their connections. The
// standard library's parser accepts some malformed answers and hides that they were; behind
// this check a malformed answer is an error of the connection.
package peridotanswer
