package fawnlb.lab.scenario;

/**
 * What the nodes of {@link StartWithoutDiscovery} start with.
 *
 * @param listAgeSeconds age of the restored list; -1 if there is none
 */
record StartCase(String description, InitialState initialState, long listAgeSeconds) {
    private static final long NO_LIST_AGE = -1;

    /** Where the nodes get their first endpoint list from. */
    enum InitialState {
        /** From a snapshot, whose endpoints have to prove themselves. */
        RESTORED_LIST,
        /** From a snapshot, whose endpoints are trusted as if discovery had listed them. */
        TRUSTED_LIST,
        /** Nowhere, until discovery is back. */
        NO_LIST,
        /** From discovery, which is up all the time. */
        DISCOVERY_AVAILABLE
    }

    static StartCase discoveryAvailable() {
        return new StartCase("discovery up", InitialState.DISCOVERY_AVAILABLE, NO_LIST_AGE);
    }

    static StartCase noList() {
        return new StartCase("no list", InitialState.NO_LIST, NO_LIST_AGE);
    }

    static StartCase restoredList(long ageSeconds) {
        return new StartCase("list " + ageSeconds + " s old", InitialState.RESTORED_LIST, ageSeconds);
    }

    static StartCase trustedList(long ageSeconds) {
        return new StartCase("list trusted as if up to date", InitialState.TRUSTED_LIST, ageSeconds);
    }

    boolean isDiscoveryAvailable() {
        return initialState == InitialState.DISCOVERY_AVAILABLE;
    }

    boolean hasList() {
        return initialState == InitialState.RESTORED_LIST || initialState == InitialState.TRUSTED_LIST;
    }

    /** Returns whether the case is checked against limits, and not only measured for comparison. */
    boolean isChecked() {
        return initialState == InitialState.RESTORED_LIST;
    }
}
