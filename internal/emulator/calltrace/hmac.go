package calltrace

import (
	"crypto/hmac"
	"crypto/sha256"
)

func hmacSum(key, text string) []byte {
	m := hmac.New(sha256.New, []byte(key))
	m.Write([]byte(text))
	return m.Sum(nil)
}
