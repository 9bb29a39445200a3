package fawnlb.stream;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The decisions on all streams of a node: which silence is too long, which reader has stopped, and who goes when the
 * bytes held come to their limit. No I/O and no clock; times are nanoseconds of one clock that never goes back. It
 * belongs to one thread.
 */
public final class Streams {
    private final Rules rules;
    private final Usual usual = new Usual();
    private final Map<Long, Record> records = new HashMap<>();
    /** Those whose readers lag, the one that has taken nothing for longest first. */
    private final Set<Stream> lagging = new LinkedHashSet<>();

    private int backendsWithStreams;
    private int backendsStalled;
    private long held;

    /** Whoever carries a stream out. */
    public interface Owner {
        /** The stream is to end so, now. */
        void end(End end);

        /** The reader has stopped: for as long as it has, the stream is no work for its backend. Told once. */
        void parked();
    }

    /** What is kept of one backend while it is listed or has streams. */
    private static final class Record {
        private final Map<State, Integer> states = new EnumMap<>(State.class);
        private final Map<String, Long> ends = new TreeMap<>();
        private int open;
        private int stalled;
        private long held;
        private boolean gone;
    }

    public Streams(Rules rules) {
        this.rules = rules;
    }

    /**
     * An attempt begins.
     *
     * @param promptTokens as the client told, 0 if it did not
     * @param until when its time is up
     * @param again whether another attempt could follow it
     * @param events whether the answer comes as events, or whole and unannounced
     */
    public Stream open(
            long now, long backend, double promptTokens, long until, boolean again, boolean events, Owner owner) {
        Record record = records.computeIfAbsent(backend, key -> new Record());
        record.gone = false;
        backendsWithStreams += record.open++ == 0 ? 1 : 0;
        count(record, State.HEAD, 1);
        return new Stream(this, backend, promptTokens, now, until, again, events, owner);
    }

    /** The backend is listed no more; what is known of it goes with its last stream. */
    public void gone(long backend) {
        Record record = records.get(backend);
        if (record != null) {
            record.gone = true;
            drop(backend, record);
        }
    }

    private void drop(long backend, Record record) {
        if (record.gone && record.open == 0) {
            records.remove(backend);
            usual.forget(backend);
        }
    }

    Rules rules() {
        return rules;
    }

    Usual usual() {
        return usual;
    }

    /** Whether so many backends are silent together that it is no fault of one. Two can't be told apart from one. */
    boolean common() {
        return backendsStalled > 2 && backendsStalled > rules.majority() * backendsWithStreams;
    }

    void moved(Stream stream, State from, State to) {
        Record record = records.get(stream.backend());
        count(record, from, -1);
        count(record, to, 1);
        if (from == State.STALLED) {
            backendsStalled -= --record.stalled == 0 ? 1 : 0;
        }
        if (to == State.STALLED) {
            backendsStalled += record.stalled++ == 0 ? 1 : 0;
        }
        if (to == State.ENDED) {
            count(record, to, -1);
            record.ends.merge(stream.ending().word(), 1L, Long::sum);
            backendsWithStreams -= --record.open == 0 ? 1 : 0;
            drop(stream.backend(), record);
        }
    }

    private static void count(Record record, State state, int change) {
        record.states.merge(state, change, Integer::sum);
    }

    /** So many bytes more, or fewer, are held for a stream. */
    void holds(Stream stream, long change) {
        held += change;
        Record record = records.get(stream.backend());
        if (record != null) {
            record.held += change;
        }
    }

    /** The reader has taken something, or lags from now on: it is the last to go. */
    void lags(Stream stream) {
        lagging.remove(stream);
        lagging.add(stream);
    }

    void keepsUp(Stream stream) {
        lagging.remove(stream);
    }

    /**
     * Ends streams until the bytes held are within the limit, those whose readers have taken nothing for longest first.
     * Where no reader lags, the bytes are on their way, and none is at fault.
     */
    public void makeRoom() {
        while (held > rules.mostHeld() && !lagging.isEmpty()) {
            Stream first = lagging.iterator().next();
            lagging.remove(first);
            first.crowdedOut();
        }
    }

    boolean full() {
        return held > rules.mostHeld();
    }

    /** Bytes held for all streams. */
    public long held() {
        return held;
    }

    /** Attempts that are out, or whose client has yet to take the rest. */
    public int open() {
        return records.values().stream().mapToInt(record -> record.open).sum();
    }

    /** Of each backend that is listed or has streams. */
    public List<Figures> figures() {
        List<Figures> all = new ArrayList<>();
        new TreeMap<>(records).forEach((backend, record) -> {
            Map<State, Integer> states = new EnumMap<>(record.states);
            states.values().removeIf(n -> n == 0);
            all.add(new Figures(
                    backend, record.open, states, new TreeMap<>(record.ends), allowedGap(backend), record.held));
        });
        return all;
    }

    /** Nanoseconds of silence between events after which a stream is given up. */
    long allowedGap(long backend) {
        if (!rules.learned()) {
            return rules.mostSilence();
        }
        // A pause of a box falls into a gap that would have been there anyhow.
        return Math.min(
                rules.mostSilence(),
                rules.pause() + Math.min(rules.mostSilence(), usual.gap(backend, rules.suspicion())));
    }
}
