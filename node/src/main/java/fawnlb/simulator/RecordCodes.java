package fawnlb.simulator;

/** The codes that the simulator's format gives to kinds of records. */
final class RecordCodes {
    /** Creates the load balancer of an instance. */
    static final int ATTACH_INSTANCE = 0;

    static final int ENDPOINTS_UPDATED = 1;
    static final int REQUEST_ARRIVED = 2;
    static final int RESPONSE_STARTED = 3;
    static final int ATTEMPT_ENDED = 4;
    static final int CLIENT_DISCONNECTED = 5;
    static final int TIMER_FIRED = 6;
    static final int HEALTH_CHECKED = 7;
    static final int PEER_MESSAGE = 8;
    /** Removes the load balancer of an instance. */
    static final int DETACH_INSTANCE = 9;
    /** Defines an endpoint list, to which later records refer by its number. */
    static final int ENDPOINT_LIST = 10;

    static final int CANCEL_ATTEMPT = 65;
    static final int REJECT_REQUEST = 66;
    static final int FETCH_ENDPOINTS = 67;
    static final int FAIL_REQUEST = 68;
    /** Says that the load balancer of an instance has failed. */
    static final int LOAD_BALANCER_FAULT = 69;

    static final int SET_TIMER = 70;
    static final int WATCH_ENDPOINTS = 72;
    static final int START_ATTEMPT = 73;
    static final int LOG = 74;
    static final int CHECK_HEALTH = 75;

    private RecordCodes() {}
}
