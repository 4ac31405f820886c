"""Prepaid credit shared by all heads: accounts, allotments granted to heads, and charges for requests.

The account of each customer is replicated state (`ledger`). Each head is granted parts of it, called
allotments, and reserves the charge of each request against them (`escrow`, after O'Neil's escrow method,
1986, and the bounded counters of Balegas and others, 2015). `gate` is the interface that the core calls for
each request. `records` defines the commands and answers exchanged between heads and stored in the log.
Amounts are integers, in millionths of a credit unit. The package does no I/O and reads no clock.
"""
