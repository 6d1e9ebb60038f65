"""Prepaid budgets of client accounts: tokens drawn, spent, transferred and billed."""
