package fawnlb.policy;

import fawnlb.decision.Balancer;
import fawnlb.membership.SubscriptionSchedule;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * All decisions of one router. The interface (settings, events, actions) is decision.Balancer.
 *
 * <p>The ordinary path is bounded-load consistent hashing: a request's prefix, else its session, is hashed onto a ring
 * of replicas and sent to the first one clockwise whose count of this router's own attempts is below the cap. What
 * departs from that stands in the section on exceptions, each with what it guards against. A Choice has no clock, no
 * threads and no state but its own.
 */
public final class Choice implements Balancer {

    // ---- Settings -------------------------------------------------------------------------------------

    /** The cap is a replica's even part of the load times CAP_NUM / CAP_DEN, that is 1.25. */
    static final int CAP_NUM = 5;

    static final int CAP_DEN = 4;

    private static final long SECOND = 1_000_000_000L;
    private static final double NEVER = 1e15;
    private static final int LIST_TIMER = 0;
    private static final int HELD_TIMER = 1;

    private final Settings settings;
    private final Sink sink;
    private final SplittableRandom random;
    private long now;

    public Choice(Settings settings, long seed, Sink sink) {
        this.settings = settings;
        this.sink = sink;
        this.sent = settings.tenants().stream().mapToDouble(Tenant::share).toArray();
        this.typicalStream = new double[settings.classes().size()];
        this.streamsSeen = new int[settings.classes().size()];
        this.random = new SplittableRandom(mix(seed));
        this.subscription =
                new SubscriptionSchedule(settings.routers(), settings.rules().askWithin(), random::nextDouble);
        this.retryBurst = this.retryCredit = Math.max(1, RETRY_BURST / Math.max(1, settings.routers()));
    }

    @Override
    public void on(long time, Event event) {
        now = time;
        if (event instanceof Request e) {
            arrived(e);
        } else if (event instanceof Ended e) {
            ended(e);
        } else if (event instanceof Started e) {
            started(e);
        } else if (event instanceof TimerDue e) {
            timerDue(e.token());
        } else if (event instanceof Listed e) {
            listed(e);
        } else if (event instanceof ClientGone e) {
            Task task = tasks.get(e.request());
            if (task != null) {
                close(task);
            }
        }
    }

    // ---- List -----------------------------------------------------------------------------------------

    /** A replica as this router knows it. */
    private static final class Node {
        final long id;
        Phase phase = Phase.GONE;
        boolean onRing;
        long readyAt;
        int zone;
        int cell;
        KindPace kind;
        int inFlight;
        long visit;
        boolean cold;
        long coldNextAt;
        int failures;
        int stalls;
        long suspectUntil;
        double lag;
        double late;
        double pace = 1;
        int streams;
        int waiting;
        int room;
        long waitingSince;

        Node(long id) {
            this.id = id;
        }
    }

    private final Map<Long, Node> nodes = new HashMap<>();
    /** Those that are ready, and a place for a figure of each. */
    private final List<Node> readyNodes = new ArrayList<>();

    private double[] figures = new double[0];
    private int ready;
    private int cold;
    private int nearReady;
    private int zones;
    private int nearTotal;
    private final SubscriptionSchedule subscription;

    private void listed(Listed news) {
        if (settings.discovery() == Discovery.ASKED && news.kind() != ListKind.VIEW) {
            subscription.heard(now, news.kind()).ifPresent(this::wakeForList);
        }
        if (news.kind().failed()) {
            return;
        }
        List<Node> joined = new ArrayList<>();
        boolean left = false;
        boolean whole = news.kind() == ListKind.FULL || news.kind() == ListKind.CACHED;
        long mark = ++visits;
        for (Replica replica : news.replicas()) {
            Node node = nodes.computeIfAbsent(replica.id(), Node::new);
            boolean listed = replica.phase() != Phase.GONE;
            update(node, replica);
            node.visit = mark;
            if (listed && !node.onRing) {
                node.onRing = true;
                joined.add(node);
            }
            left |= !listed;
        }
        left |= whole && leaveOut(mark);
        if (!joined.isEmpty()) {
            ring.add(joined, node -> node.id);
        }
        if (left) {
            removeGone();
        }
        recount();
        if (meanCost == 0 && ready == cold) {
            coldNodes.forEach(node -> node.coldNextAt = now);
        }
        serveHeld();
    }

    /** A whole list names those that are gone by leaving them out. */
    private boolean leaveOut(long mark) {
        boolean left = false;
        for (Node node : nodes.values()) {
            if (node.visit != mark && node.phase != Phase.GONE) {
                node.phase = Phase.GONE;
                left = true;
            }
        }
        return left;
    }

    private void update(Node node, Replica replica) {
        if (replica.readyAt() != node.readyAt) {
            restarted(node, replica.readyAt());
        }
        if (replica.phase() == Phase.DRAINING && node.phase == Phase.READY) {
            drains();
        }
        node.phase = replica.phase();
        node.zone = replica.zone();
        node.cell = replica.cell();
        node.kind = kindPaces.computeIfAbsent(replica.kind(), kind -> new KindPace());
        node.room = replica.room();
    }

    /** The last timer that was set counts: if all did, each call that fails would leave two behind. */
    private void wakeForList(long at) {
        sink.act(new Timer(at, LIST_TIMER));
    }

    private void askForList() {
        if (subscription.isDue(now, settings.tick())) {
            sink.act(new Subscribe());
            wakeForList(subscription.called(now));
        }
    }

    private void recount() {
        ready = 0;
        cold = 0;
        nearReady = 0;
        nearTotal = 0;
        readyNodes.clear();
        readyKinds.clear();
        BitSet met = new BitSet();
        for (Node node : nodes.values()) {
            boolean here = node.zone == settings.zone();
            nearTotal += here ? node.inFlight : 0;
            if (node.phase == Phase.READY) {
                nearReady += here ? 1 : 0;
                met.set(Math.max(0, node.zone));
                readyNodes.add(node);
                readyKinds.add(node.kind);
                ready++;
                cold += node.cold ? 1 : 0;
            }
        }
        zones = met.cardinality();
        findNextToDrain();
    }

    // ---- Ring and cap ---------------------------------------------------------------------------------

    private final HashRing<Node> ring = new HashRing<>();
    private long visits;
    private int total;

    private void removeGone() {
        ring.removeIf(node -> node.phase == Phase.GONE);
        nodes.values().forEach(node -> node.onRing &= node.phase != Phase.GONE);
        nodes.values().removeIf(node -> node.phase == Phase.GONE && node.inFlight == 0);
    }

    /** The ring's hash: the finalizer of SplitMix64. */
    static long mix(long x) {
        x += 0x9e3779b97f4a7c15L;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    /** ceil(1.25 * (total + 1) / replicas), in whole numbers; widened by so many thousandths. */
    static long cap(long total, long replicas, long wide) {
        long divisor = CAP_DEN * NARROW * Math.max(1, replicas);
        return (CAP_NUM * wide * (total + 1) + divisor - 1) / divisor;
    }

    private Node walk(Task task) {
        Node near = keepsNear(task) ? walk(task, true) : null;
        return near != null ? near : walk(task, false);
    }

    /**
     * Walks clockwise to the first replica that may take the task and is below the cap, else to the first that may take
     * it; null if none. Near: only replicas of this router's zone are met and counted.
     */
    private Node walk(Task task, boolean near) {
        if (ring.size() == 0) {
            return null;
        }
        int replicas = near ? nearReady : warmReady();
        long key = ringKey(task, replicas);
        int at = ring.first(key);
        Node fallback = null;
        long limit = Math.max(QUIET_CAP, cap(near ? nearTotal : total, replicas, wide));
        double quickest = quickestPace();
        long mark = ++visits;
        int left = near ? nearReady : ready;
        for (int i = at, seen = 0; seen < ring.size() && left > 0; seen++) {
            Node node = ring.server(i);
            i = i + 1 == ring.size() ? 0 : i + 1;
            if (node.visit == mark || node.phase != Phase.READY || near && node.zone != settings.zone()) {
                continue;
            }
            node.visit = mark;
            left--;
            if (!permitted(task, node) || task.tried(node)) {
                continue;
            }
            boolean rests = node.suspectUntil > now || node.cold && now < node.coldNextAt;
            if (rests || lost(node) || node.waiting >= node.room) {
                continue;
            }
            if (node.inFlight < capOf(node, limit, task) && keeps(key, node, quickest)) {
                if (task.attempts.isEmpty()) {
                    countSpill(fallback != null);
                }
                return node;
            }
            fallback = fallback == null ? node : fallback;
        }
        return fallback;
    }

    // ---- Exceptions -----------------------------------------------------------------------------------

    /**
     * Quiet router: at a cap of one, a second request for a replica would leave its kept beginning for a neighbour that
     * other routers pick at the same moment. So the cap is never below this.
     */
    static final int QUIET_CAP = 2;

    /**
     * Hot prefix: one prefix that draws more than the cap lets a replica carry would be spilled by every router to the
     * same neighbours. While its part of this router's last requests is above PLACE_SHARE of a replica's part, its
     * sessions are dealt over so many places on the ring that each stays below that; each place reads the prefix once.
     * Places lump by chance: from SPREAD_LIMIT of the replicas on each session is one. A router believes a part seen in
     * PRIOR_REQUESTS requests by half; that does not grow with the fleet, since what a router sees doesn't, and all
     * would leave a hot prefix whole.
     */
    static final double PLACE_SHARE = 0.25;

    static final double PRIOR_REQUESTS = 16;
    static final double SPREAD_LIMIT = 0.25;
    static final int RECENT_PER_REPLICA = 8;
    private final RecentRequests recent = new RecentRequests();

    private long ringKey(Task task, int replicas) {
        double seen = recent.size();
        boolean prefix = task.key != task.session && recent.knows(task.key);
        double need = !prefix ? 1 : recent.part(task.key) * replicas / PLACE_SHARE * seen / (seen + PRIOR_REQUESTS);
        long places = 1;
        while (places < need) {
            places *= 2;
        }
        long place = mix(~task.session) & places - 1;
        long key = place == 0 ? task.key : mix(task.key + place);
        return places > 1 && places >= SPREAD_LIMIT * replicas ? task.session : key;
    }

    /**
     * Near keys: where the site counts a crossing of zones for more than wasted work, a part of the keys stays in the
     * router's own zone. The part is small enough that a zone which has all of the clients is loaded by no more than
     * half above the mean. Always on at such sites while there are several zones.
     */
    static final double ZONE_EXCESS = 0.5;

    private boolean keepsNear(Task task) {
        return settings.costs().crossZone() > settings.costs().waste()
                && nearReady > 0
                && zones > 1
                && (mix(~task.session) >>> 11) * 0x1p-53 < ZONE_EXCESS / (zones - 1);
    }

    /**
     * Spill guard: when many requests find their first replica at the cap, no replica is hot but all are full, and
     * spilling only trades kept prompts for unread ones. While more than SPILL_PART of the last requests would leave
     * their first replica, the cap widens step by step; it narrows again below that.
     */
    static final double SPILL_PART = 0.1;

    static final long NARROW = 1000;
    static final long WIDEST = 4 * NARROW;
    private double spilled;
    private long wide = NARROW;

    private void countSpill(boolean spills) {
        spilled += ((spills ? 1 : 0) - spilled) / 64;
        wide = Math.max(NARROW, Math.min(WIDEST, wide + (spilled > SPILL_PART ? wide : -wide) / 100));
    }

    /**
     * Slow replica: a count says nothing of how fast it shrinks, and a replica that has slowed down or fallen silent
     * would hold as many requests as the others and answer them late. While its first tokens take more than LAG_OUTLIER
     * times as long as usual, or it has said nothing for that long to those that wait, its cap shrinks in proportion,
     * to one at least; it ends with the first tokens that come as usual again. So it does while a replica is cold.
     */
    static final double LAG_OUTLIER = 2;
    /** No lag below this part of a request's aim matters, and no difference of streams that are shorter. */
    static final double MIN_LAG = 0.05;

    private double usualLag;

    private long capOf(Node node, long limit, Task task) {
        double lag = Math.max(node.lag, node.waiting > 0 ? now - node.waitingSince : 0);
        double bearable = LAG_OUTLIER * Math.max(usualLag, MIN_LAG * task.aim);
        double part = lag <= bearable ? 1 : bearable / lag;
        part *= node.cold ? present(node) : 1;
        part *= drainsNext(node) && middle(this::paceOf) < MAX_SLOWDOWN * bestPace ? NEXT_TO_DRAIN_CAP : 1;
        return Math.max(1, (long) (limit * part));
    }

    /**
     * A replica slower than the quickest kind keeps so many of its keys, the same ones at every router. Held against
     * the middle one, a slower kind that has most of the replicas would keep them all.
     */
    private boolean keeps(long key, Node node, double quickest) {
        return (mix(key ^ mix(node.id)) >>> 11) * 0x1p-53 < quickest / paceOf(node);
    }

    /** The pace of the quickest kind of ready replicas that was met often enough; NEVER if none was. */
    private double quickestPace() {
        double quickest = NEVER;
        for (KindPace kind : readyKinds) {
            quickest = kind.streams >= KIND_PRIOR_STREAMS ? Math.min(quickest, kind.pace) : quickest;
        }
        return quickest;
    }

    /** What is usual follows no slow replica: a first token counts LAG_OUTLIER times the usual at most. */
    private void judgeLag(Node node, double took) {
        usualLag += usualLag == 0 ? took : (Math.min(took, LAG_OUTLIER * usualLag) - usualLag) / 64;
        node.lag += (took - node.lag) / 8;
    }

    /** One attempt fewer waits for this replica's first token; a sign of life if the replica ended it. */
    private void heard(Node node, boolean sign) {
        node.waiting--;
        node.waitingSince = sign ? now : node.waitingSince;
    }

    /**
     * Release: while replicas drain one after another, those that started first are the next, and a stream that has
     * only begun by then is cut when its replica goes. From the second drain within RELEASE_WINDOW on, the cap of the
     * NEXT_TO_DRAIN oldest is this part of the others'; it ends so long after the last drain, and while streams take
     * MAX_SLOWDOWN times as long as at best: then every replica is needed.
     */
    static final long RELEASE_WINDOW = 10 * SECOND;

    static final int NEXT_TO_DRAIN = 3;
    static final double NEXT_TO_DRAIN_CAP = 0.3;
    static final double MAX_SLOWDOWN = 1.6;
    private long lastDrain = Long.MIN_VALUE / 2;
    private long releaseUntil = Long.MIN_VALUE;
    private long drainsNextBefore;

    private void drains() {
        releaseUntil = now - lastDrain < RELEASE_WINDOW ? now + RELEASE_WINDOW : releaseUntil;
        lastDrain = now;
    }

    /** Where many started together, none of them is known to be the next. */
    private void findNextToDrain() {
        long[] starts =
                readyNodes.stream().mapToLong(node -> node.readyAt).sorted().toArray();
        drainsNextBefore = starts.length >= 2 * NEXT_TO_DRAIN ? starts[NEXT_TO_DRAIN] : 0;
    }

    private boolean drainsNext(Node node) {
        return now < releaseUntil && node.readyAt < drainsNextBefore;
    }

    /**
     * Overload: while first tokens come late, or attempts end full or timed out, more often than OVERLOAD_THRESHOLD at
     * half of the replicas, that part of the sessions is refused on arrival, in the order of their hash: the same ones
     * at every router, so that the others keep their prompts. A few replicas that are slow or out of reach are no
     * overload: the others can serve what they can't.
     */
    static final double OVERLOAD_THRESHOLD = 0.1;
    /** Some sessions always pass: with none, no answer could show that the trouble is over. */
    static final double MAX_SHED = 0.9;

    private static void judgeLoad(Node node, boolean late) {
        node.late += ((late ? 1 : 0) - node.late) / 16;
    }

    /** The middle one of the ready replicas' figures. */
    private double middle(ToDoubleFunction<Node> figure) {
        int count = readyNodes.size();
        if (count == 0) {
            return 0;
        }
        if (figures.length < count) {
            figures = new double[count];
        }
        for (int i = 0; i < count; i++) {
            figures[i] = figure.applyAsDouble(readyNodes.get(i));
        }
        return Selection.upperMedian(figures, count);
    }

    private boolean sheds(Task task) {
        double slow = 1 - SLOW_STREAMS * bestPace / middle(this::paceOf);
        double part = Math.max(middle(n -> n.late) - OVERLOAD_THRESHOLD, slow);
        part *= claim(task.request.tenant());
        return part > 0 && (mix(task.session ^ 0x5ca1ab1eL) >>> 11) * 0x1p-53 < Math.min(MAX_SHED, part);
    }

    /**
     * Fairness: when sessions are refused, a tenant that sends more than its share of this router's requests bears more
     * of it, and one that sends less bears less, by the square of the ratio. It acts only while there is refusing to
     * do, and only where tenants have shares.
     */
    private final double[] sent;

    private void countTenant(int tenant) {
        for (int i = 0; i < sent.length; i++) {
            sent[i] += ((i == tenant ? 1 : 0) - sent[i]) / 256;
        }
    }

    private double claim(int tenant) {
        if (tenant < 0
                || tenant >= sent.length
                || settings.tenants().get(tenant).share() <= 0) {
            return 1;
        }
        double ratio = sent[tenant] / settings.tenants().get(tenant).share();
        return ratio * ratio;
    }

    /**
     * Slow streams: with too many answers running, or kept prompts lost, tokens fall below their pace while first
     * tokens are still in time, and the state feeds itself. The length of an answer is not told, so streams by the
     * tokens that they may have are held against the middle replica's own best stretch; above SLOW_STREAMS times that,
     * so many sessions are refused as bring the streams back to it.
     */
    static final double SLOW_STREAMS = 2.2;

    private static final int STREAM_SAMPLES = 64;
    private static final double MAX_STREAM_RATIO = 16;
    private final double[] typicalStream;
    private final int[] streamsSeen;
    private double bestPace = 1;

    /**
     * A router meets one of many replicas a few times in ten seconds: what it has seen of others of that kind counts as
     * KIND_PRIOR_STREAMS streams of its own.
     */
    static final int KIND_PRIOR_STREAMS = 8;

    private final Map<Integer, KindPace> kindPaces = new HashMap<>();
    /** Kinds that have a ready replica. */
    private final Set<KindPace> readyKinds = new LinkedHashSet<>();

    /** How fast replicas of one kind stream, and in how many streams that was seen. */
    private static final class KindPace {
        double pace;
        double streams;
    }

    private double paceOf(Node node) {
        int own = Math.min(node.streams, 16);
        double all = own + KIND_PRIOR_STREAMS;
        return node.kind.streams == 0 ? node.pace : (own * node.pace + KIND_PRIOR_STREAMS * node.kind.pace) / all;
    }

    private void judgePace(Node node, Task task, double took) {
        double stream = Math.max(MIN_LAG * task.aim, took) / task.tokens;
        int type = task.request.type();
        if (type < 0 || type >= typicalStream.length) {
            return;
        }
        int seen = ++streamsSeen[type];
        if (seen <= STREAM_SAMPLES) {
            typicalStream[type] += (stream - typicalStream[type]) / seen;
        }
        double ratio = Math.min(MAX_STREAM_RATIO, stream / typicalStream[type]);
        node.pace += (ratio - node.pace) / Math.min(++node.streams, 16);
        KindPace kind = node.kind;
        kind.pace += (ratio - kind.pace) / Math.min(++kind.streams, 64);
        if (seen > 2 * STREAM_SAMPLES) {
            bestPace = Math.min(bestPace, middle(this::paceOf));
        }
    }

    /**
     * Cold replica: the budget of a warming replica is for all routers together. From its start until `cold` later this
     * router sends it no more than the replica's present part of a warm replica's mean work, all prompts counted as
     * unread, and begins at a moment of its own so that many quiet routers don't each send one at once: at any until it
     * is warm where no load tells its part, unless all are cold.
     */
    private final List<Node> coldNodes = new ArrayList<>();

    private long nextWarm = Long.MAX_VALUE;
    private double workRate;
    private long workRateAt;
    private double meanCost;

    private void restarted(Node node, long readyAt) {
        node.readyAt = readyAt;
        node.failures = 0;
        node.suspectUntil = 0;
        node.lag = 0;
        node.late = 0;
        boolean isCold = readyAt > 0 && now - readyAt < settings.rules().cold();
        if (isCold && !node.cold) {
            coldNodes.add(node);
        }
        node.cold = isCold || node.cold;
        if (isCold) {
            nextWarm = Math.min(nextWarm, readyAt + settings.rules().cold());
            double first =
                    meanCost > 0 ? coldGap(node, meanCost) : settings.rules().cold();
            node.coldNextAt = now + (long) (random.nextDouble() * first);
        }
    }

    /** How long a cold replica must rest after work of this cost, given this router's part of its budget. */
    private double coldGap(Node node, double cost) {
        Rules rules = settings.rules();
        double budget = present(node) * (1 + rules.tipMultiple()) / 2;
        double rate = budget * decayedRate() / Math.max(1, warmReady());
        return Math.min(NEVER, cost / Math.max(rate, 1e-12));
    }

    /** The part of its capacity that a warming replica has by now. */
    private double present(Node node) {
        Rules rules = settings.rules();
        double age = Math.max(0, now - node.readyAt) / (double) rules.cold();
        return Math.min(1, rules.coldFrom() + (1 - rules.coldFrom()) * age);
    }

    /** This router's own work sent a nanosecond, over about ten seconds. */
    private double decayedRate() {
        return workRate * Math.exp((workRateAt - now) / (10.0 * SECOND));
    }

    private void countWork(double cost) {
        workRate = decayedRate() + cost / (10.0 * SECOND);
        workRateAt = now;
        meanCost += (cost - meanCost) / 16;
    }

    private void warmUp() {
        if (now < nextWarm) {
            return;
        }
        nextWarm = Long.MAX_VALUE;
        coldNodes.removeIf(node -> {
            long warmAt = node.readyAt + settings.rules().cold();
            node.cold = now < warmAt;
            nextWarm = node.cold ? Math.min(nextWarm, warmAt) : nextWarm;
            return !node.cold;
        });
        recount();
    }

    /** Replicas that the cap counts: all that are ready and warm, or all ready ones when none is warm. */
    private int warmReady() {
        return ready > cold ? ready - cold : ready;
    }

    // ---- Request life ---------------------------------------------------------------------------------

    /** A request that this router holds. */
    private static final class Task {
        final Request request;
        final RequestClass type;
        final long key;
        final long session;
        final double work;
        final double tokens;
        final double aim;
        final long lastUse;
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean closed;

        Task(Request request, RequestClass type, long now) {
            this.request = request;
            this.type = type;
            long own = request.session() != 0 ? request.session() : mix(request.id());
            this.session = own;
            this.key = request.prefix() != 0 ? request.prefix() : own;
            double prompt = sane(request.promptTokens());
            this.tokens = 1 + sane(request.maxTokens());
            this.work = prompt + tokens;
            long deadline = now + Math.max(0, Math.min(request.expiresIn(), Long.MAX_VALUE - now));
            this.aim = type.aim() + prompt * type.aimPerToken();
            this.lastUse = type.lateWorth() > 0 || aim >= deadline - now ? deadline : now + (long) aim;
        }

        boolean tried(Node node) {
            return !attempts.isEmpty() && attempts.stream().anyMatch(attempt -> attempt.node == node);
        }
    }

    /** One attempt of a task. */
    private static final class Attempt {
        final Node node;
        final long sentAt;
        boolean out = true;
        boolean mayHaveRun = true;
        boolean streaming;
        long firstToken;

        Attempt(Node node, long sentAt) {
            this.node = node;
            this.sentAt = sentAt;
        }
    }

    private static double sane(double x) {
        return x > 0 && x < 1e9 ? x : 0;
    }

    private final Map<Long, Task> tasks = new HashMap<>();
    private final ArrayDeque<Task> held = new ArrayDeque<>();
    private boolean heldTimer;
    private final double retryBurst;
    private double retryCredit;

    /**
     * Retry budget: one further attempt for every five requests, and so many at once by all routers, one by each at
     * least. It always holds, but for attempts that never met a replica and cost none any work.
     */
    static final double RETRY_PART = 0.2;

    static final double RETRY_BURST = 10;

    private void arrived(Request request) {
        warmUp();
        Task task = new Task(request, settings.requestClass(request.type()), now);
        tasks.put(request.id(), task);
        retryCredit = Math.min(retryBurst, retryCredit + RETRY_PART);
        recent.add(task.key, task.work, RECENT_PER_REPLICA * Math.max(16, ready));
        countTenant(request.tenant());
        if (sheds(task)) {
            giveUp(task);
        } else {
            place(task);
        }
    }

    /** Sends the task's next attempt, or holds the task while no replica may take it. */
    private void place(Task task) {
        Node node = now < task.lastUse ? walk(task) : null;
        if (node != null) {
            send(task, node);
        } else if (now < task.lastUse && task.attempts.isEmpty()) {
            held.add(task);
            armHeld();
        } else {
            giveUp(task);
        }
    }

    private void send(Task task, Node node) {
        task.attempts.add(new Attempt(node, now));
        task.out++;
        count(node, 1);
        node.waitingSince = node.waiting++ == 0 ? now : node.waitingSince;
        if (node.cold) {
            node.coldNextAt = now + (long) coldGap(node, task.work);
        }
        countWork(task.work);
        sink.act(new Send(task.request.id(), node.id, stopAt(task)));
    }

    /**
     * Silent replica: one that vanished or was cut off answers nothing, and waiting for it to the end would cost the
     * request. A first attempt that may be repeated is stopped while there is time to be in time elsewhere; not where
     * first tokens take about so long now, nor without credit for a retry.
     */
    static final double FIRST_TOKEN_TIMEOUT = 0.5;

    static final double FIRST_TOKEN_OUTLIER = 6;

    private long stopAt(Task task) {
        boolean early = task.type.effect() == Effect.SAFE && task.attempts.size() == 1 && retryCredit >= 1 && ready > 1;
        double patience = Math.max(FIRST_TOKEN_TIMEOUT * task.aim, FIRST_TOKEN_OUTLIER * usualLag);
        return early && patience < task.lastUse - now ? now + (long) patience : task.lastUse;
    }

    private void count(Node node, int change) {
        node.inFlight += change;
        total += change;
        nearTotal += node.zone == settings.zone() ? change : 0;
    }

    private void armHeld() {
        if (!heldTimer && !held.isEmpty()) {
            heldTimer = true;
            sink.act(new Timer(now + 5 * settings.tick(), HELD_TIMER));
        }
    }

    /** Tries held tasks again; one whose time is nearly up is refused. */
    private void serveHeld() {
        warmUp();
        for (int n = held.size(); n > 0; n--) {
            Task task = held.poll();
            if (task.closed) {
                continue;
            }
            Node node = walk(task);
            if (now + 10 * settings.tick() >= task.lastUse) {
                giveUp(task);
            } else if (node != null) {
                send(task, node);
            } else {
                held.add(task);
            }
        }
    }

    private void started(Started event) {
        Task task = tasks.get(event.request());
        if (task == null || event.attempt() >= task.attempts.size()) {
            return;
        }
        Attempt attempt = task.attempts.get(event.attempt());
        attempt.streaming = true;
        attempt.firstToken = event.took();
        heard(attempt.node, true);
        judgeLag(attempt.node, event.took());
        answered(attempt.node, false);
        judgeLoad(attempt.node, event.took() > task.aim * 0.8);
        close(task);
    }

    private void ended(Ended event) {
        Task task = tasks.get(event.request());
        if (task == null || event.attempt() >= task.attempts.size()) {
            return;
        }
        Attempt attempt = task.attempts.get(event.attempt());
        if (!attempt.out) {
            return;
        }
        Node node = attempt.node;
        boolean silent = event.outcome() == Outcome.TIMEOUT || event.outcome() == Outcome.STALLED;
        attempt.out = false;
        attempt.mayHaveRun = event.outcome().mayHaveRun();
        task.out--;
        count(node, -1);
        if (!attempt.streaming) {
            heard(node, !silent && event.outcome() != Outcome.CANCELLED);
        }
        if (silent && !attempt.streaming) {
            judgeLag(node, event.took());
        }
        judge(node, event.outcome(), attempt.streaming);
        if (event.outcome() == Outcome.SERVED && attempt.streaming) {
            judgePace(node, task, event.took() - attempt.firstToken);
        }
        if (silent && !attempt.streaming || event.outcome() == Outcome.FULL) {
            judgeLoad(node, true);
        }
        if (event.over() || event.outcome() == Outcome.SERVED) {
            close(task);
        } else if (!task.closed && task.out == 0) {
            again(task, event.outcome());
        }
        if (task.closed && task.out == 0) {
            tasks.remove(task.request.id());
        }
    }

    /** All attempts so far have failed: one more within the rules and the budget, else the final answer. */
    private void again(Task task, Outcome outcome) {
        boolean free = outcome == Outcome.CONNECT_FAILED;
        boolean budget = (free || retryCredit >= 1)
                && task.attempts.size() < settings.limits().attempts();
        if (budget && outcome != Outcome.CANCELLED && now < task.lastUse) {
            retryCredit -= free ? 0 : 1;
            place(task);
        } else {
            giveUp(task);
        }
    }

    /** Whether the effect rules let the task go to this replica. */
    private boolean permitted(Task task, Node node) {
        Attempt first = firstThatMayHaveRun(task);
        if (task.type.effect() == Effect.SAFE || first == null) {
            return true;
        }
        if (task.type.effect() == Effect.UNSAFE || now - first.sentAt >= task.type.window()) {
            return false;
        }
        return switch (task.type.group()) {
            case ALL -> true;
            case ZONE -> node.zone == first.node.zone;
            case CELL -> node.zone == first.node.zone && node.cell == first.node.cell;
        };
    }

    private static Attempt firstThatMayHaveRun(Task task) {
        return task.attempts.stream()
                .filter(attempt -> attempt.mayHaveRun)
                .findFirst()
                .orElse(null);
    }

    /** The final answer when there is nothing more to try: a refusal where the rules let it be one. */
    private void giveUp(Task task) {
        boolean refusable = task.type.refusable(firstThatMayHaveRun(task) != null);
        sink.act(
                refusable
                        ? new Refuse(task.request.id(), settings.limits().maxRetryAfter())
                        : new Fail(task.request.id()));
        close(task);
    }

    /** The task has its final answer; its attempts still count until each has ended. */
    private void close(Task task) {
        if (!task.closed) {
            task.closed = true;
            for (int i = 0; i < task.attempts.size() && settings.limits().cancel(); i++) {
                Attempt attempt = task.attempts.get(i);
                if (attempt.out && !attempt.streaming) {
                    sink.act(new Cancel(task.request.id(), i));
                }
            }
        }
        if (task.out == 0) {
            tasks.remove(task.request.id());
        }
    }

    // ---- Health ---------------------------------------------------------------------------------------

    private void answered(Node node, boolean whole) {
        lostCount = node.zone == lostZone ? 0 : lostCount;
        node.stalls = whole ? 0 : node.stalls;
        node.failures = node.stalls;
        node.suspectUntil = node.stalls > 0 ? node.suspectUntil : 0;
    }

    /**
     * Failing replica: quick errors would empty its count and draw ever more keys. One that fails to connect, or twice
     * in a row otherwise, is walked past for a second, doubled with each further failure up to sixteen; the first
     * answer ends it. After a stall in mid-answer it is at once, until an answer is whole.
     */
    private void judge(Node node, Outcome outcome, boolean streaming) {
        if (outcome == Outcome.SERVED) {
            answered(node, true);
        } else if (outcome == Outcome.ERROR
                || outcome == Outcome.RESET
                || outcome == Outcome.CONNECT_FAILED
                || outcome == Outcome.STALLED && streaming) {
            node.stalls += outcome == Outcome.STALLED ? 2 : 0;
            node.failures = Math.max(node.failures + 1, node.stalls);
            boolean counts = node.failures == 1 || lostCount >= LOST_ZONE_FAILURES;
            if (outcome == Outcome.CONNECT_FAILED && counts) {
                lostCount = node.zone == lostZone ? lostCount + 1 : 1;
                lostZone = node.zone;
                lostUntil = now + SECOND;
            }
            if (node.failures > 1 || outcome == Outcome.CONNECT_FAILED) {
                node.suspectUntil = now + (SECOND << Math.min(node.failures - 1, 4));
            }
        }
    }

    /**
     * Lost zone: its replicas would each have to fail to connect once, at every router. When LOST_ZONE_FAILURES of them
     * have and none has answered since, all are walked past but for a try a second; an answer ends it.
     */
    static final int LOST_ZONE_FAILURES = 3;

    private int lostZone = -1;
    private int lostCount;
    private long lostUntil;

    private boolean lost(Node node) {
        return zones > 1 && lostCount >= LOST_ZONE_FAILURES && node.zone == lostZone && now < lostUntil;
    }

    // ---- Timers ---------------------------------------------------------------------------------------

    private void timerDue(int token) {
        if (token == LIST_TIMER) {
            askForList();
        } else if (token == HELD_TIMER) {
            serveHeld();
            heldTimer = false;
            armHeld();
        }
    }
}
