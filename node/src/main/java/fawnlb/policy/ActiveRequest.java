package fawnlb.policy;

import fawnlb.decision.EndpointId;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerSettings.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** A request that this instance has in hand, from its arrival until its last attempt has ended. */
final class ActiveRequest {
    /** Numbers above this, and those that are no numbers, are malformed and count as 0. */
    private static final double MAX_TOKENS = 1e9;

    final RequestArrived arrival;
    final RequestClass requestClass;
    /** The session, or the request itself if it belongs to none. */
    final long sessionKey;
    /** The prefix that the request shares with others, else {@link #sessionKey}. */
    final long placementKey;
    /** Tokens of the response at most, and one so that it is never zero. */
    final double maxStreamTokens;
    /** Tokens to read and to write at most. */
    final double work;

    final double firstTokenObjectiveNanos;
    /** When a first token is of no use anymore. */
    final long lastUsefulAt;

    private final List<Attempt> attempts = new ArrayList<>(2);
    private int attemptsInFlight;
    /** Whether the request has its final answer; its attempts may still be in flight. */
    private boolean answered;

    ActiveRequest(RequestArrived arrival, RequestClass requestClass, long now) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.sessionKey = arrival.sessionKey() != 0 ? arrival.sessionKey() : SplitMix64.mix(arrival.requestId());
        this.placementKey = arrival.prefixKey() != 0 ? arrival.prefixKey() : sessionKey;
        double promptTokens = wellFormed(arrival.promptTokens());
        this.maxStreamTokens = 1 + wellFormed(arrival.maxTokens());
        this.work = promptTokens + maxStreamTokens;
        this.firstTokenObjectiveNanos = requestClass.firstTokenObjectiveNanos()
                + promptTokens * requestClass.firstTokenObjectivePerPromptTokenNanos();
        this.lastUsefulAt = lastUsefulAt(now);
    }

    private static double wellFormed(double tokens) {
        return tokens > 0 && tokens < MAX_TOKENS ? tokens : 0;
    }

    /** The client's deadline; or the first-token objective where later ones are worth nothing and it is earlier. */
    private long lastUsefulAt(long now) {
        long remaining = Math.max(0, Math.min(arrival.timeoutNanos(), Long.MAX_VALUE - now));
        long deadline = now + remaining;
        boolean untilDeadline = requestClass.lateWeight() > 0 || firstTokenObjectiveNanos >= deadline - now;
        return untilDeadline ? deadline : now + (long) firstTokenObjectiveNanos;
    }

    long id() {
        return arrival.requestId();
    }

    boolean hasPrefix() {
        return placementKey != sessionKey;
    }

    void addAttempt(EndpointState endpoint, long now) {
        attempts.add(new Attempt(endpoint, now));
        attemptsInFlight++;
    }

    void endAttempt(Attempt attempt, boolean mayHaveRun) {
        attempt.inFlight = false;
        attempt.mayHaveRun = mayHaveRun;
        attemptsInFlight--;
    }

    /** The attempt with this number, counted from 0; null if there is none. */
    Attempt attempt(int number) {
        return number < attempts.size() ? attempts.get(number) : null;
    }

    int attemptCount() {
        return attempts.size();
    }

    boolean hasAttemptsInFlight() {
        return attemptsInFlight > 0;
    }

    boolean wasTriedOn(EndpointState endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).endpoint == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** Whether the connection of an attempt on an endpoint of this id broke, be it that it has left the list since. */
    boolean lostConnectionTo(EndpointId id) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).connectionLost && attempts.get(i).endpoint.id.equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that may have taken effect; null if there is none. */
    Attempt firstThatMayHaveRun() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun) {
                return attempts.get(i);
            }
        }
        return null;
    }

    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }
}
