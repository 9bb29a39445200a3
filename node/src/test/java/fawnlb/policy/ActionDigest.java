package fawnlb.policy;

import fawnlb.decision.LoadBalancerAction;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hashes a sequence of actions. Each action is encoded as its time, a number for its kind and its fields, so that the
 * hash depends neither on names of classes and fields nor on their order in the source.
 */
final class ActionDigest {
    private static final int START_ATTEMPT = 1;
    private static final int CANCEL_ATTEMPT = 2;
    private static final int REJECT_REQUEST = 3;
    private static final int FAIL_REQUEST = 4;
    private static final int SET_TIMER = 5;
    private static final int WATCH_ENDPOINTS = 6;
    private static final int FETCH_ENDPOINTS = 7;
    private static final int CHECK_HEALTH = 8;
    private static final int LOG = 9;

    private final MessageDigest digest;
    private final ByteBuffer buffer = ByteBuffer.allocate(Long.BYTES);
    private int actions;

    ActionDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    void add(long now, LoadBalancerAction action) {
        actions++;
        if (action instanceof LoadBalancerAction.StartAttempt start) {
            put(now, START_ATTEMPT, start.requestId(), start.endpointId().ringSeed(), start.deadline());
        } else if (action instanceof LoadBalancerAction.CancelAttempt cancel) {
            put(now, CANCEL_ATTEMPT, cancel.requestId(), cancel.attempt());
        } else if (action instanceof LoadBalancerAction.RejectRequest reject) {
            put(now, REJECT_REQUEST, reject.requestId(), reject.retryAfterNanos());
        } else if (action instanceof LoadBalancerAction.FailRequest fail) {
            put(now, FAIL_REQUEST, fail.requestId());
        } else if (action instanceof LoadBalancerAction.SetTimer timer) {
            put(now, SET_TIMER, timer.dueAt(), timer.token());
        } else if (action instanceof LoadBalancerAction.WatchEndpoints) {
            put(now, WATCH_ENDPOINTS);
        } else if (action instanceof LoadBalancerAction.FetchEndpoints) {
            put(now, FETCH_ENDPOINTS);
        } else if (action instanceof LoadBalancerAction.CheckHealth check) {
            put(now, CHECK_HEALTH, check.endpointId().ringSeed());
        } else if (action instanceof LoadBalancerAction.Log log) {
            put(now, LOG);
            digest.update(log.text().getBytes(StandardCharsets.UTF_8));
        }
    }

    private void put(long... numbers) {
        for (long number : numbers) {
            digest.update(buffer.putLong(0, number).array());
        }
    }

    /** The number of actions and their hash; it can be taken once. */
    String result() {
        return actions + " " + HexFormat.of().formatHex(digest.digest());
    }
}
