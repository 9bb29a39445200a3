package fawnlb.messages;

import fawnlb.contract.Budget;

/** A request's reservation with the budget that holds it; settled once, when the request has ended. */
record ReservedBudget(Budget budget, Budget.Reservation reservation) {
    /** Charges the tokens that the backend reported. */
    void settle(long usedTokens) {
        budget.settle(reservation, usedTokens);
    }

    /** Charges nothing: no response was generated. */
    void release() {
        settle(0);
    }

    /** Charges the whole reservation: nobody knows how much was generated. */
    void chargeInFull() {
        settle(reservation.tokens());
    }
}
