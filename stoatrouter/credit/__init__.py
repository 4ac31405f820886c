"""Prepaid credit shared by all heads: accounts, the allotments heads draw from them, and request charges.

The account of each customer is agreed on by the heads (`ledger`); each head holds escrow grants, called
allotments, drawn from it and reserves each request's charge against them (`escrow`, after O'Neil's escrow
method, 1986, and Balegas and others' bounded counters, 2015); `gate` is what the core asks per request;
`records` holds the commands and answers that go between heads and into the agreed log. Amounts are whole
millionths of a credit unit. No socket, no file, no clock.
"""
