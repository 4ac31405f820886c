"""Imports load balancer settings from Apache's BalancerMember and mod_jk's workers.properties."""
