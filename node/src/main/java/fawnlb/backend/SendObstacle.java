package fawnlb.backend;

import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;

/** Why a request that the load balancer has decided to send is not written. Each is a label of one metric. */
enum SendObstacle {
    /** The endpoint has left the endpoint list, or another backend has taken its place. */
    BACKEND_REMOVED("backend_left"),
    /** The endpoint shuts down gracefully. */
    BACKEND_DRAINING("backend_drains"),
    /** The time in which the response had to begin is over. */
    RESPONSE_DEADLINE_PASSED("out_of_time"),
    /** The time in which the request could be repeated safely is over. */
    SEND_DEADLINE_PASSED("repeat_window_over"),
    /** The client has disconnected, or the request has its final answer. */
    NO_LONGER_WANTED("not_wanted");

    private final String metricLabel;

    SendObstacle(String metricLabel) {
        this.metricLabel = metricLabel;
    }

    void count() {
        Metrics.increment(Metric.SENDS_PREVENTED, metricLabel);
    }
}
