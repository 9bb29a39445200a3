package fawnlb.lab.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Model of a language-model engine without sockets and clock. It works in steps. A step processes up to one chunk of
 * prompt tokens, first come first served, and generates one token for each sequence whose prompt has been processed.
 *
 * <p>Times are nanoseconds on the caller's clock. An instance is not thread-safe.
 */
public final class Engine {
    static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1000;

    private final EngineProfile profile;
    private final SlowStartProfile slowStart;
    private final long startedAt;
    private final Deque<Sequence> queued = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private final PromptCache cache = new PromptCache();
    private final Deque<ReceivedWork> recentWork = new ArrayDeque<>();
    private double recentWorkMillis;
    private double extraStepMillis;
    private double slowdown = 1;
    private boolean collapsed;
    private long stepEndsAt;

    private record ReceivedWork(long receivedAt, double millis) {}

    /** Creates an engine that started at this time; 0 for one that has passed its slow start. */
    public Engine(EngineProfile profile, SlowStartProfile slowStart, long startedAt) {
        this.profile = profile;
        this.slowStart = slowStart;
        this.startedAt = startedAt;
    }

    /** Returns the present speed as a part of the full speed. */
    public double currentCapacity(long now) {
        return startedAt <= 0 ? 1 : slowStart.capacityAt(now - startedAt);
    }

    /** Returns whether the engine is down because it received too much work during its slow start. */
    public boolean isCollapsed() {
        return collapsed;
    }

    /** Returns the number of sequences that wait for a place in the batch. */
    public int queueLength() {
        return queued.size();
    }

    /** Multiplies the duration of all further steps. */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Accounts for the work of a new connection; the next step lasts longer by it. */
    public void onConnectionOpened() {
        extraStepMillis += profile.connectMillis();
    }

    /** Accounts for the work of a load report; the next step lasts longer by it. */
    public void onLoadReportRequested() {
        extraStepMillis += profile.loadReportMillis();
    }

    /**
     * Queues a sequence.
     *
     * @return false if the batch and the queue are full, or the engine is down or has just collapsed under this work
     */
    public boolean offer(long now, Sequence sequence) {
        recordWork(now, profile.workMillis(sequence.promptTokens, sequence.outputTokens));
        if (collapsed || running.size() >= profile.maxRunning() && queued.size() >= profile.queueCapacity()) {
            return false;
        }
        queued.add(sequence);
        return true;
    }

    private void recordWork(long now, double workMillis) {
        recentWork.add(new ReceivedWork(now, workMillis));
        recentWorkMillis += workMillis;
        while (recentWork.peek().receivedAt() < now - slowStart.overloadWindowNanos()) {
            recentWorkMillis -= recentWork.poll().millis();
        }
        double capacity = currentCapacity(now);
        if (capacity < 1 && recentWorkMillis > slowStart.overloadMillis(capacity)) {
            collapsed = true;
        }
    }

    /** Removes a sequence whose client has disconnected; the current step takes no less time. */
    public void cancel(Sequence sequence) {
        queued.remove(sequence);
        running.remove(sequence);
    }

    /**
     * Begins a step if there is work.
     *
     * @return the time at which {@link #endStep} has to be called, or -1 if nothing is to be done or a step is running
     */
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
        double millis = stepMillis();
        extraStepMillis = 0;
        stepEndsAt = now + (long) (millis * NANOS_PER_MILLI * slowdown / profile.speedFactor() / currentCapacity(now));
        return stepEndsAt;
    }

    /** Returns the duration of the next step at full speed. */
    private double stepMillis() {
        int prefillBudget = profile.prefillChunkTokens();
        int decoding = 0;
        for (Sequence sequence : running) {
            prefillBudget -= Math.min(prefillBudget, sequence.remainingPromptTokens);
            decoding += sequence.isDecoding() ? 1 : 0;
        }
        int prefillTokens = profile.prefillChunkTokens() - prefillBudget;
        return profile.stepMillis()
                + profile.perSequenceMillis() * decoding
                + prefillTokens / profile.prefillTokensPerSecond() * MILLIS_PER_SECOND
                + extraStepMillis;
    }

    private boolean hasMemoryFor(Sequence sequence) {
        return running.isEmpty() || reservedTokens() + sequence.reservedTokens() <= profile.memoryTokens();
    }

    private void startSequence(Sequence sequence) {
        int sessionTokens = cache.cachedTokens(sequence.session);
        int prefixTokens =
                sequence.prefix == 0 ? 0 : Math.min(sequence.prefixTokens, cache.cachedTokens(sequence.prefix));
        sequence.cachedPromptTokens = Math.min(sequence.promptTokens - 1, Math.max(sessionTokens, prefixTokens));
        sequence.remainingPromptTokens = sequence.promptTokens - sequence.cachedPromptTokens;
        running.add(sequence);
        evictCache();
    }

    /** Ends the step: prompts advance, and each sequence that was decoding has one more token. */
    public void endStep() {
        stepEndsAt = 0;
        int prefillBudget = profile.prefillChunkTokens();
        List<Sequence> decoding = new ArrayList<>();
        for (Sequence sequence : running) {
            if (sequence.isDecoding()) {
                decoding.add(sequence);
            }
            int prefillTokens = Math.min(prefillBudget, sequence.remainingPromptTokens);
            prefillBudget -= prefillTokens;
            sequence.remainingPromptTokens -= prefillTokens;
        }
        for (Sequence sequence : decoding) {
            generateToken(sequence);
        }
    }

    private void generateToken(Sequence sequence) {
        sequence.generatedTokens++;
        boolean last = sequence.isComplete();
        if (last) {
            running.remove(sequence);
            cacheSequence(sequence);
        }
        sequence.listener.onToken(last);
    }

    private void cacheSequence(Sequence sequence) {
        cache.put(sequence.session, sequence.promptTokens + sequence.generatedTokens);
        if (sequence.prefix != 0) {
            cache.put(sequence.prefix, sequence.prefixTokens);
        }
        evictCache();
    }

    /** Leaves the cache the memory that running sequences have not reserved. */
    private void evictCache() {
        cache.evictTo(profile.memoryTokens() - reservedTokens());
    }

    private int reservedTokens() {
        return running.stream().mapToInt(Sequence::reservedTokens).sum();
    }
}
