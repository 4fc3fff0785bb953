package reserver

import (
	"sync"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/budgeter"
)

// Account is a budgeter.Account for concurrent use. A nil Account has no bound and counts nothing.
type Account struct {
	mu      sync.Mutex
	account *budgeter.Account
}

// New returns the account of a machine.
func New(m budgeter.Machine) *Account { return &Account{account: budgeter.NewAccount(m)} }

// Take counts an amount in bytes for a use until Give takes it back, or reports that there is no
// room.
func (a *Account) Take(use budgeter.Use, amount int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Take(use, amount)
}

// Give takes back an amount that Take has counted.
func (a *Account) Give(use budgeter.Use, amount int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Give(use, amount)
}

// Used returns the memory in bytes that counts for a use.
func (a *Account) Used(use budgeter.Use) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Used(use)
}

// Limit returns the memory in bytes up to which a use is granted, 0 for no bound.
func (a *Account) Limit(use budgeter.Use) int64 { return a.account.Limit(use) }

// Refused returns how often there was no room for a use.
func (a *Account) Refused(use budgeter.Use) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Refused(use)
}
