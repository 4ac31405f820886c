"""Reads the balancer settings of other servers: Apache's BalancerMember and mod_jk's workers.properties."""
