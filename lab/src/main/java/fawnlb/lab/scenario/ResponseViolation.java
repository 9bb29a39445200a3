package fawnlb.lab.scenario;

/** What must not happen to a request of {@link StreamFaults}. */
enum ResponseViolation {
    NO_RESPONSE("no final response"),
    WRONG_BUT_COMPLETE("looks complete and is not"),
    NO_REASON("an error without a reason"),
    UNCLEAR("no clear response"),
    HARMLESS_FAULT_DID_HARM("a harmless fault that did harm"),
    CLEAN_REQUEST_FAILED("no fault injected, and the response is not complete");

    private final String title;

    ResponseViolation(String title) {
        this.title = title;
    }

    /** Returns the name that reports show. */
    String title() {
        return title;
    }
}
