package fawnlb.probation;

import fawnlb.decision.Balancer.Ended;
import fawnlb.decision.Balancer.Event;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Listed;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Phase;
import fawnlb.decision.Balancer.Replica;
import fawnlb.decision.Balancer.Started;
import fawnlb.view.View;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * How far a remembered list is believed until discovery is heard again. Every backend of it counts as cold until it has
 * answered: it may hold a few requests of this node that wait for their first token and no more, and sends to it are so
 * paced by its own answers. Requests that run count for nothing, since they are no new work.
 *
 * <pre>
 *   REMEMBERED --its turn--> PROVING --answers, and time to warm up--> PROVEN
 *                              |  ^                                      |
 *                      failure |  | wait over                            | refuses connects: it may come back cold
 *                              v  |                                      |
 *                             DOUBTED <----------------------------------+
 *   any --named by discovery, or left out--> gone from here
 * </pre>
 *
 * <p>The weight of a memory halves with each half-life of its age. The sum of the weights is how many backends are
 * expected to be there still, and so many may be tried at once, the latest heard of first. What discovery says wins at
 * once.
 */
public final class Probation implements View {
    /** A backend on probation. */
    public enum State {
        REMEMBERED,
        PROVING,
        PROVEN,
        DOUBTED
    }

    /**
     * How long a node waits for its first answer of a discovery that refuses its calls since it has too many, in
     * nanoseconds.
     */
    public static final long MAX_CROWDED = 4_000_000_000L;
    /** The weight of a memory whose age is not known. */
    private static final double UNKNOWN_AGE = 0.5;
    /** A memory of at least this weight is let try its whole part at once. */
    private static final double FRESH = 0.9;

    private final Rules rules;
    private final long seed;
    private final Map<Long, Long> heard;
    private final Consumer<String> log;
    private final Map<Long, Box> boxes = new LinkedHashMap<>();
    private boolean discovered;
    private double expected;
    private Listed empty;
    private long emptyUntil = NEVER;
    /**
     * Discovery has been asked and has neither answered nor failed. Until then no remembered backend is tried: the
     * address of one may belong to another by now, and a node may send only to what its list has named.
     */
    private boolean awaitsWord;

    private long awaitsFrom;
    private long admitAt = NEVER;

    /**
     * Times in nanoseconds. {@code halfLife}: after which a memory weighs half; {@code proofs}: answers that prove a
     * backend; {@code settle}: from the first answer until it may count as warm; {@code waiting}: requests that may
     * await their first token at one unproven backend, from all nodes together; {@code routers}: how many nodes;
     * {@code atOnce}: backends that may be tried at once at least; {@code doubt}, {@code longestDoubt}: how long a
     * backend is left alone after a failure, doubled with each up to the longest; {@code hold}: how long an empty list
     * is not believed while backends are held, 0 to believe it at once.
     */
    public record Rules(
            long halfLife,
            int proofs,
            long settle,
            int waiting,
            int routers,
            int atOnce,
            long doubt,
            long longestDoubt,
            long hold) {
        /** This node's part of what all nodes may have waiting at an unproven backend. */
        int part() {
            return Math.max(1, waiting / Math.max(1, routers));
        }
    }

    private static final class Box {
        final double weight;
        final long order;
        Replica replica;
        State state = State.REMEMBERED;
        int answers;
        int failures;
        long firstAnswer;
        long until;
        int shown;

        Box(Replica replica, double weight, long order) {
            this.replica = replica;
            this.weight = weight;
            this.order = order;
        }
    }

    /**
     * Heard: when each backend was last listed or answered, in nanoseconds on the host's clock; 0 or absent if unknown.
     */
    public Probation(Rules rules, long seed, Map<Long, Long> heard, Consumer<String> log) {
        this.rules = rules;
        this.seed = seed;
        this.heard = Map.copyOf(heard);
        this.log = log;
    }

    // ---- What discovery says --------------------------------------------------------------------------

    @Override
    public Listed listed(long now, Listed news) {
        return switch (news.kind()) {
            case CACHED -> remembered(now, news);
            case FULL -> whole(now, news);
            case DELTA -> changes(news);
            case FAILED, UNANSWERED -> {
                admitAt = awaitsWord ? now : admitAt;
                awaitsWord = false;
                yield news;
            }
            case CROWDED -> {
                // Discovery may well be up, and answer the next call: what it would say holds for this node by then.
                admitAt = awaitsWord ? Math.max(now, awaitsFrom + MAX_CROWDED) : admitAt;
                yield news;
            }
            case VIEW -> news;
        };
    }

    private Listed remembered(long now, Listed news) {
        if (discovered) {
            return news;
        }
        boxes.clear();
        for (Replica replica : news.replicas()) {
            if (replica.phase() == Phase.READY) {
                boxes.put(replica.id(), new Box(replica, weight(now, replica.id()), mix(replica.id() ^ seed)));
            }
        }
        awaitsWord = true;
        awaitsFrom = now;
        expected = boxes.values().stream().mapToDouble(box -> box.weight).sum();
        admit(now);
        if (!boxes.isEmpty()) {
            log.accept("starting from " + boxes.size() + " remembered targets, about " + Math.round(expected)
                    + " of them expected to be there");
        }
        return with(news, news.kind());
    }

    private Listed whole(long now, Listed news) {
        boolean none = news.replicas().stream().allMatch(replica -> replica.phase() == Phase.GONE);
        if (none && rules.hold() > 0 && (emptyUntil != NEVER || !discovered && !boxes.isEmpty())) {
            if (emptyUntil == NEVER) {
                emptyUntil = now + rules.hold();
                log.accept(
                        "discovery lists no target; the remembered ones stay for " + rules.hold() / 1_000_000 + " ms");
            }
            empty = news;
            // The call has worked, and nothing has changed yet.
            return new Listed(ListKind.DELTA, news.version(), List.of());
        }
        believe("discovery is back with " + news.replicas().size() + " targets");
        return news;
    }

    /** Discovery answers from where this node stood, so all that it does not mention is as it was. */
    private Listed changes(Listed news) {
        if (emptyUntil != NEVER && news.replicas().stream().allMatch(replica -> replica.phase() == Phase.GONE)) {
            return news;
        }
        List<Replica> replicas = new ArrayList<>(news.replicas());
        if (emptyUntil == NEVER) {
            var named = news.replicas().stream().map(Replica::id).collect(Collectors.toSet());
            boxes.values().stream()
                    .map(box -> box.replica)
                    .filter(r -> !named.contains(r.id()))
                    .forEach(replicas::add);
        } else {
            // The whole list was empty: what it left out is gone, now that there is another to go to.
            boxes.values().stream().map(box -> box.replica.gone()).forEach(replicas::add);
            replicas.removeIf(r -> r.phase() == Phase.GONE
                    && news.replicas().stream().anyMatch(n -> n.id() == r.id() && n.phase() != Phase.GONE));
        }
        believe("discovery is back");
        return new Listed(news.kind(), news.version(), replicas);
    }

    private void believe(String words) {
        if (!discovered && !boxes.isEmpty()) {
            log.accept(words + "; of the remembered " + boxes.size() + ", " + count(State.PROVEN)
                    + " had proved themselves, " + count(State.DOUBTED) + " were in doubt");
        }
        discovered = true;
        boxes.clear();
        empty = null;
        emptyUntil = NEVER;
    }

    // ---- What the backends do --------------------------------------------------------------------------

    @Override
    public Listed seen(long now, Event event) {
        if (boxes.isEmpty()) {
            return null;
        }
        if (event instanceof Started e) {
            answered(now, boxes.get(e.replica()));
        } else if (event instanceof Ended e) {
            failed(now, boxes.get(e.replica()), e.outcome());
        } else {
            return null;
        }
        return step(now);
    }

    private void answered(long now, Box box) {
        if (box == null || box.state == State.PROVEN) {
            return;
        }
        // An answer ends a doubt too: it may be the one to a request that was out when the doubt began.
        box.state = State.PROVING;
        box.failures = 0;
        box.firstAnswer = box.answers == 0 ? now : box.firstAnswer;
        box.answers++;
    }

    private void failed(long now, Box box, Outcome outcome) {
        if (box == null) {
            return;
        }
        boolean counts = switch (outcome) {
            case CONNECT_FAILED -> true;
            // A proven backend's health is the module's business; only one that went away may come back cold.
            case ERROR, RESET, TIMEOUT, FULL, STALLED -> box.state != State.PROVEN;
            case SERVED, CANCELLED, NEVER_SENT -> false;
        };
        if (counts && box.state != State.DOUBTED) {
            box.state = State.DOUBTED;
            box.until = now + Math.min(rules.longestDoubt(), rules.doubt() << Math.min(box.failures, 20));
            box.failures++;
            box.answers = 0;
        }
    }

    @Override
    public long wakeAt() {
        long at = boxes.isEmpty() ? emptyUntil : Math.min(emptyUntil, admitAt);
        for (Box box : boxes.values()) {
            if (box.state == State.DOUBTED) {
                at = Math.min(at, box.until);
            } else if (box.state == State.PROVING && box.answers >= rules.proofs()) {
                at = Math.min(at, box.firstAnswer + rules.settle());
            }
        }
        return at;
    }

    @Override
    public Listed woken(long now) {
        if (now >= emptyUntil) {
            List<Replica> left =
                    boxes.values().stream().map(box -> box.replica.gone()).toList();
            Listed told = new Listed(ListKind.VIEW, empty.version(), left);
            believe("discovery still lists no target");
            return told;
        }
        return step(now);
    }

    /** Moves on what the time and the answers allow, and shows what has changed by it. */
    private Listed step(long now) {
        for (Box box : boxes.values()) {
            if (box.state == State.DOUBTED && now >= box.until) {
                box.state = State.PROVING;
            } else if (box.state == State.PROVING
                    && box.answers >= rules.proofs()
                    && now - box.firstAnswer >= rules.settle()) {
                box.state = State.PROVEN;
            }
        }
        admit(now);
        List<Replica> changed = new ArrayList<>();
        for (Box box : boxes.values()) {
            if (box.shown != room(box)) {
                changed.add(show(box));
            }
        }
        return changed.isEmpty() ? null : new Listed(ListKind.VIEW, 0, changed);
    }

    /** Lets backends be tried, the likeliest first, while fewer are being tried without an answer than may be. */
    private void admit(long now) {
        awaitsWord &= now < admitAt;
        if (awaitsWord) {
            return;
        }
        admitAt = NEVER;
        int most = Math.max(rules.atOnce(), (int) Math.round(expected));
        long trying = boxes.values().stream()
                .filter(box -> box.state == State.PROVING && box.answers == 0)
                .count();
        boxes.values().stream()
                .filter(box -> box.state == State.REMEMBERED)
                .sorted(Comparator.comparingDouble((Box box) -> -box.weight).thenComparingLong(box -> box.order))
                .limit(Math.max(0, most - trying))
                .toList()
                .forEach(box -> box.state = State.PROVING);
    }

    // ---- What the next step sees ----------------------------------------------------------------------

    private Listed with(Listed news, ListKind kind) {
        return new Listed(
                kind,
                news.version(),
                news.replicas().stream()
                        .map(replica -> boxes.containsKey(replica.id()) ? show(boxes.get(replica.id())) : replica)
                        .toList());
    }

    private Replica show(Box box) {
        box.shown = room(box);
        return box.replica.withRoom(box.shown);
    }

    /** How many of this node's requests may await their first token at the backend. */
    private int room(Box box) {
        return switch (box.state) {
            case REMEMBERED, DOUBTED -> 0;
            case PROVING ->
                box.weight >= FRESH && box.failures == 0 ? rules.part() : Math.min(rules.part(), 1 + box.answers);
            case PROVEN -> Replica.ALL;
        };
    }

    /** The weight of a memory: two to the power of minus its age in half-lives. A time to come tells no age. */
    double weight(long now, long backend) {
        long at = heard.getOrDefault(backend, 0L);
        return at <= 0 || at > now ? UNKNOWN_AGE : Math.pow(2, -(now - at) / (double) rules.halfLife());
    }

    /** Backends in this state. */
    public long count(State state) {
        return boxes.values().stream().filter(box -> box.state == state).count();
    }

    /** Where a backend stands, null if it is not on probation. */
    public State state(long backend) {
        Box box = boxes.get(backend);
        return box == null ? null : box.state;
    }

    /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014): nodes with other seeds begin with other backends. */
    private static long mix(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
