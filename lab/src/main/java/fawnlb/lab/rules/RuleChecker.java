package fawnlb.lab.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * Holds what crossed the sockets against the rules: it hears only what clients, boxes and the roster have sent and
 * received, and nothing from a node. Times are nanoseconds on one clock.
 */
public final class RuleChecker {
    /** A connection's end and the next attempt travel on two connections: the end may be read a little later. */
    private static final long CROSSING = 50_000_000;
    /** Figures of the rules: attempts of a request, and how long after a drain was told work may still come. */
    private final int attempts;
    private final long grace;

    private final Map<String, Asked> asked = new HashMap<>();
    private final Map<String, Long> told = new HashMap<>();
    private final Map<Rule, List<String>> broken = new TreeMap<>();

    /** The rules, by the names under which they are reported. */
    public enum Rule { ONE_ANSWER, ONE_ATTEMPT_AT_ONCE, SIX_ATTEMPTS, DRAIN_KEPT, NO_COLD_BOX_PUSHED_OVER, MADE_BY_A_BOX }

    private static final class Asked {
        final String node;
        int answers;
        int attempts;
        String box;
        BooleanSupplier open;
        long overlapSince = -1;
        final List<Long> made = new ArrayList<>();

        Asked(String node) {
            this.node = node;
        }
    }

    public RuleChecker(int attempts, long grace) {
        this.attempts = attempts;
        this.grace = grace;
    }

    /** A client has written the last byte of a request to this node. */
    public synchronized void asked(String id, String node) {
        asked.put(id, new Asked(node));
    }

    /** A client has read a whole answer, or a refusal. Sum: of the events of one that was served, else 0. */
    public synchronized void answered(String id, boolean served, long sum) {
        Asked request = asked.get(id);
        if (++request.answers > 1) {
            breaks(Rule.ONE_ANSWER, id + " was answered " + request.answers + " times");
        }
        if (served && !request.made.contains(sum)) {
            breaks(Rule.MADE_BY_A_BOX, id + " was served what no box had made");
        }
    }

    /** A client's connection ended with no answer, though it had not left. */
    public synchronized void lost(String id) {
        breaks(Rule.ONE_ANSWER, id + " was taken and not answered");
    }

    /** A box has read an attempt; {@code open}: whether its connection still is. */
    public synchronized void sent(long now, String id, String box, BooleanSupplier open) {
        Asked request = asked.get(id);
        if (request == null) {
            breaks(Rule.MADE_BY_A_BOX, "a box was asked " + id + ", which no client had sent");
            return;
        }
        if (++request.attempts > attempts) {
            breaks(Rule.SIX_ATTEMPTS, id + " was tried " + request.attempts + " times");
        }
        Long drained = told.get(request.node + ' ' + box);
        if (drained != null && now > drained + grace + CROSSING) {
            breaks(Rule.DRAIN_KEPT, id + " went to " + box + " " + (now - drained) / 1_000_000 + " ms after it was told");
        }
        if (request.open != null && request.open.getAsBoolean()) {
            request.overlapSince = now;
        }
        request.box = box;
        request.open = open;
    }

    /** An attempt is over at its box. Whole: all of it was written, with this sum. */
    public synchronized void ended(long now, String id, String box, boolean whole, long sum) {
        Asked request = asked.get(id);
        if (request == null) {
            return;
        }
        if (request.overlapSince >= 0 && now - request.overlapSince > CROSSING) {
            breaks(Rule.ONE_ATTEMPT_AT_ONCE, id + " was at two boxes for " + (now - request.overlapSince) / 1_000_000 + " ms");
        }
        request.overlapSince = -1;
        if (box.equals(request.box)) {
            request.open = null;
        }
        if (whole) {
            request.made.add(sum);
        }
    }

    /** A node was told that a box drains or is gone, or is listed again. */
    public synchronized void told(long now, String node, String box, boolean leaves) {
        if (leaves) {
            told.putIfAbsent(node + ' ' + box, now);
        } else {
            told.remove(node + ' ' + box);
        }
    }

    /** A node has started anew: it knows nothing of what was told before. */
    public synchronized void startedAnew(String node) {
        told.keySet().removeIf(key -> key.startsWith(node + ' '));
    }

    /** A cold box was pushed over. */
    public synchronized void fell(long now, String box) {
        breaks(Rule.NO_COLD_BOX_PUSHED_OVER, box + " fell over");
    }

    private void breaks(Rule rule, String how) {
        broken.computeIfAbsent(rule, key -> new ArrayList<>()).add(how);
    }

    /** How often each rule was broken, with the first case of each. */
    public synchronized Map<Rule, List<String>> broken() {
        return new TreeMap<>(broken);
    }

    public synchronized int count(Rule rule) {
        return broken.getOrDefault(rule, List.of()).size();
    }
}
