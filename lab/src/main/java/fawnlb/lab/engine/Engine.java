package fawnlb.lab.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A language-model engine without sockets or clock: it works in steps, each of which reads up to a chunk of prompt
 * tokens, first come first, and makes one token for every request whose prompt is read. Times are nanoseconds.
 *
 * <p>A box that starts is cold: its speed rises evenly from a share to the whole. Sent over a multiple of what it can
 * do at that moment for a stated time while it is cold, it falls over and stays down.
 */
public final class Engine {
    private static final double NANOS_PER_MILLI = 1e6;

    private final EngineProfile profile;
    private final SlowStartProfile slowStart;
    private final Deque<Sequence> queued = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private final Map<Long, Integer> promptCache = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<double[]> recentWork = new ArrayDeque<>();
    private double recentWorkMillis;
    private int cachedTokens;
    private long startedAt;
    private double extraStepMillis;
    private double slowdown = 1;
    private boolean collapsed;
    private long stepEndsAt;

    /**
     * {@code initialCapacity}: share of its speed at the start; warm after {@code durationNanos}; falls over
     * {@code overloadMultiple} times its present work for {@code overloadWindowNanos} nanoseconds.
     */
    public record SlowStartProfile(
            double initialCapacity, long durationNanos, double overloadMultiple, long overloadWindowNanos) {}

    /** A request at the engine, and who hears of its tokens. */
    public static final class Sequence {
        final long session;
        final long prefix;
        final int promptTokens;
        final int prefixTokens;
        final int outputTokens;
        final TokenListener listener;
        int remainingPromptTokens;
        int generatedTokens;
        int cachedPromptTokens;

        /** Lengths in tokens; {@code outputTokens}: how many tokens its answer will have. */
        public Sequence(
                long session,
                long prefix,
                int promptTokens,
                int prefixTokens,
                int outputTokens,
                TokenListener listener) {
            this.session = session;
            this.prefix = prefix;
            this.promptTokens = promptTokens;
            this.prefixTokens = prefixTokens;
            this.outputTokens = Math.max(1, outputTokens);
            this.listener = listener;
        }

        public int promptTokens() {
            return promptTokens;
        }

        public int generatedTokens() {
            return generatedTokens;
        }

        /** Prompt tokens that were found kept. */
        public int cachedPromptTokens() {
            return cachedPromptTokens;
        }
    }

    /** Hears of each token as its step ends. */
    public interface TokenListener {
        void onToken(boolean last);
    }

    public Engine(EngineProfile profile, SlowStartProfile slowStart, long startedAt) {
        this.profile = profile;
        this.slowStart = slowStart;
        this.startedAt = startedAt;
    }

    /** The share of its full speed that it has by now. */
    public double currentCapacity(long now) {
        return startedAt <= 0
                ? 1
                : Math.min(
                        1,
                        slowStart.initialCapacity()
                                + (1 - slowStart.initialCapacity())
                                        * Math.max(0, now - startedAt)
                                        / slowStart.durationNanos());
    }

    public boolean isCollapsed() {
        return collapsed;
    }

    public int queueLength() {
        return queued.size();
    }

    /** So many times slower than it would be. */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** A new connection, or a probe. */
    public void onConnectionOpened() {
        extraStepMillis += profile.connectMillis();
    }

    public void onLoadReportRequested() {
        extraStepMillis += profile.loadReportMillis();
    }

    /** Takes a request, unless the engine is full; false also when this one made it fall over. */
    public boolean offer(long now, Sequence sequence) {
        recordWork(now, profile.workMillis(sequence.promptTokens, sequence.outputTokens));
        if (collapsed || running.size() >= profile.maxRunning() && queued.size() >= profile.queueCapacity()) {
            return false;
        }
        queued.add(sequence);
        return true;
    }

    private void recordWork(long now, double workMillis) {
        recentWork.add(new double[] {now, workMillis});
        recentWorkMillis += workMillis;
        while (recentWork.peek()[0] < now - slowStart.overloadWindowNanos()) {
            recentWorkMillis -= recentWork.poll()[1];
        }
        // Before the window has passed since the start, the box can only have been sent its part of it.
        if (currentCapacity(now) < 1
                && recentWorkMillis
                        > slowStart.overloadMultiple()
                                * currentCapacity(now)
                                * slowStart.overloadWindowNanos()
                                / NANOS_PER_MILLI) {
            collapsed = true;
        }
    }

    /** Its client has gone: work on it stops with the present step. */
    public void cancel(Sequence sequence) {
        queued.remove(sequence);
        running.remove(sequence);
    }

    /** Begins a step if there is work; when it ends, -1 if there is nothing to do or one is under way. */
    public long beginStep(long now) {
        if (collapsed || stepEndsAt > 0) {
            return -1;
        }
        while (!queued.isEmpty() && running.size() < profile.maxRunning() && hasMemoryFor(queued.peek())) {
            startSequence(queued.poll());
        }
        if (running.isEmpty()) {
            return -1;
        }
        int prefillBudget = profile.prefillChunkTokens();
        int decoding = 0;
        for (Sequence sequence : running) {
            int prefillTokens = Math.min(prefillBudget, sequence.remainingPromptTokens);
            prefillBudget -= prefillTokens;
            decoding += sequence.remainingPromptTokens == 0 ? 1 : 0;
        }
        double millis = profile.stepMillis()
                + profile.perSequenceMillis() * decoding
                + (profile.prefillChunkTokens() - prefillBudget) / profile.prefillTokensPerSecond() * 1000
                + extraStepMillis;
        extraStepMillis = 0;
        stepEndsAt = now + (long) (millis * NANOS_PER_MILLI * slowdown / profile.speedFactor() / currentCapacity(now));
        return stepEndsAt;
    }

    private boolean hasMemoryFor(Sequence sequence) {
        return running.isEmpty()
                || reservedTokens() + sequence.promptTokens + sequence.outputTokens <= profile.memoryTokens();
    }

    private void startSequence(Sequence sequence) {
        int cachedSessionTokens = promptCache.getOrDefault(sequence.session, 0);
        int cachedPrefixTokens = sequence.prefix == 0
                ? 0
                : Math.min(sequence.prefixTokens, promptCache.getOrDefault(sequence.prefix, 0));
        sequence.cachedPromptTokens =
                Math.min(sequence.promptTokens - 1, Math.max(cachedSessionTokens, cachedPrefixTokens));
        sequence.remainingPromptTokens = sequence.promptTokens - sequence.cachedPromptTokens;
        running.add(sequence);
        evictCache();
    }

    /** The step has ended: prompts are read on, and every request whose prompt was read has one more token. */
    public void endStep() {
        stepEndsAt = 0;
        int prefillBudget = profile.prefillChunkTokens();
        List<Sequence> decoding = new ArrayList<>();
        for (Sequence sequence : running) {
            if (sequence.remainingPromptTokens == 0) {
                decoding.add(sequence);
            }
            int prefillTokens = Math.min(prefillBudget, sequence.remainingPromptTokens);
            prefillBudget -= prefillTokens;
            sequence.remainingPromptTokens -= prefillTokens;
        }
        for (Sequence sequence : decoding) {
            sequence.generatedTokens++;
            boolean last = sequence.generatedTokens == sequence.outputTokens;
            if (last) {
                running.remove(sequence);
                cacheSequence(sequence);
            }
            sequence.listener.onToken(last);
        }
    }

    private void cacheSequence(Sequence sequence) {
        cacheTokens(sequence.session, sequence.promptTokens + sequence.generatedTokens);
        if (sequence.prefix != 0) {
            cacheTokens(sequence.prefix, sequence.prefixTokens);
        }
        evictCache();
    }

    /** Running requests and kept prompts share one memory; what was unused for longest goes first. */
    private void evictCache() {
        int reserved = reservedTokens();
        var leastRecentlyUsed = promptCache.entrySet().iterator();
        while (cachedTokens + reserved > profile.memoryTokens() && leastRecentlyUsed.hasNext()) {
            cachedTokens -= leastRecentlyUsed.next().getValue();
            leastRecentlyUsed.remove();
        }
    }

    /** Tokens of the running requests, with those that their answers may still have. */
    private int reservedTokens() {
        return running.stream().mapToInt(s -> s.promptTokens + s.outputTokens).sum();
    }

    private void cacheTokens(long key, int tokens) {
        Integer previous = promptCache.put(key, tokens);
        cachedTokens += tokens - (previous == null ? 0 : previous);
    }
}
