package fawnlb.stream;

/**
 * One attempt and its stream, from its sending until neither side is owed anything. Whoever carries it out tells it
 * what happens and wakes it at {@link #wakeAt}; what it decides reaches its owner.
 */
public final class Stream {
    /** Nothing is waited for. */
    public static final long NEVER = Long.MAX_VALUE;

    /** A thread that comes to its timers so late has not come to what was sent in the meantime either. */
    private static final long LATE = 100_000_000;

    private static final long SECOND_LOOK = 50_000_000;
    private static final int SECOND_LOOKS = 4;
    /** A reader that has taken nothing for so long has stopped, for the time being. */
    private static final long IDLE = 1_000_000_000;
    /** Another attempt needs about so many times the usual wait. */
    private static final int ROOM_FOR_ANOTHER = 2;

    private final Streams all;
    private final long backend;
    private final double promptTokens;
    private final long sentAt;
    private final long until;
    private final boolean again;
    private final boolean events;
    private final Streams.Owner owner;
    private State state = State.HEAD;
    private Place place = Place.BEFORE_HEAD;
    private Ending ending;
    private long heardAt;
    private long tookAt;
    private long held;
    private boolean waiting;
    private boolean behind;
    private boolean parked;
    private int looks;
    private long notBefore;
    private long gaveUpAt;
    private long promised = NEVER;

    Stream(
            Streams all,
            long backend,
            double promptTokens,
            long now,
            long until,
            boolean again,
            boolean events,
            Streams.Owner owner) {
        this.all = all;
        this.backend = backend;
        this.promptTokens = promptTokens;
        this.sentAt = now;
        this.heardAt = now;
        this.until = until;
        this.again = again;
        this.events = events;
        this.owner = owner;
        this.waiting = true;
    }

    long backend() {
        return backend;
    }

    public State state() {
        return state;
    }

    /** Null until the backend's side or the client's has ended it. */
    public Ending ending() {
        return ending;
    }

    private void on(Signal signal) {
        State next = Life.after(state, signal);
        if (next != null && next != state) {
            State from = state;
            state = next;
            if (next == State.ENDED && ending == null) {
                ending = new Ending(End.READER_LEFT, place);
            }
            all.moved(this, from, next);
        }
    }

    private void end(End end) {
        if (ending == null) {
            ending = new Ending(end, place);
        }
    }

    // ---- The backend's side ----------------------------------------------------------------------------

    /** A head was read; with an answer, or with none. */
    public void head(long now, boolean answer) {
        heard(now);
        place = answer ? Place.BEFORE_EVENT : place;
        on(answer ? Signal.ANSWER : Signal.NO_ANSWER);
    }

    /** Bytes came that hold nothing for the client yet; the next are waited for. */
    public void sign(long now) {
        heard(now);
        if (state == State.STALLED && place == Place.BEFORE_EVENT) {
            on(Signal.ANSWER);
        } else {
            on(Signal.SIGN);
        }
    }

    /** Bytes for the client came: none are waited for until it has taken them. */
    public void piece(long now, int bytes) {
        if (events && place != Place.MIDWAY) {
            all.usual().wait(backend, promptTokens, now - sentAt);
        } else if (events) {
            all.usual().gap(backend, now - heardAt);
        }
        place = Place.MIDWAY;
        heard(now);
        waiting = false;
        hold(bytes);
        on(Signal.PIECE);
    }

    private void heard(long now) {
        heardAt = now;
        looks = 0;
        notBefore = 0;
    }

    /** So many bytes are kept until the answer is whole, or can be put into the client's words. */
    public void keeps(long bytes) {
        hold(bytes - held);
        all.makeRoom();
        if (all.full() && ending == null) {
            crowdedOut();
        }
    }

    private void hold(long change) {
        held += change;
        all.holds(this, change);
    }

    /** The answer is whole and on its way to the client; {@code end}: it may be the backend's own refusal. */
    public void last(End how) {
        end(how);
        waiting = false;
        on(Signal.LAST);
        if (state != State.LAST_PIECE) {
            // Nothing was shown of it: it is over for both sides.
            close();
        }
    }

    /** The backend's side is over and gives the client nothing more. */
    public void over(End how) {
        if (state == State.LAST_PIECE || state == State.ENDED) {
            return;
        }
        end(how);
        waiting = false;
        if (how == End.STALLED && events && place != Place.MIDWAY && gaveUpAt > 0) {
            all.usual().waitedInVain(backend, promptTokens, gaveUpAt - sentAt);
        }
        on(Signal.OVER);
        if (place != Place.MIDWAY) {
            close();
        }
    }

    // ---- The client's side ----------------------------------------------------------------------------

    /** The client took all that was held for it, and the backend is waited for from now on. */
    public void took(long now) {
        heard(now);
        behind = false;
        waiting = ending == null;
        all.keepsUp(this);
        hold(-held);
        on(Signal.TOOK);
    }

    /** The client could not take all; so many bytes are left. */
    public void lags(long now, int left) {
        boolean takes = left < held;
        if (!behind || takes) {
            tookAt = now;
            all.lags(this);
        }
        on(behind && takes ? Signal.TAKES : Signal.LAGS);
        behind = true;
        hold(left - held);
        all.makeRoom();
    }

    /** The client has all that it will get. */
    public void close() {
        all.keepsUp(this);
        hold(-held);
        on(Signal.CLOSED);
    }

    void crowdedOut() {
        // Its bytes go with its connection, in a moment; no other need go for them.
        hold(-held);
        giveUp(End.CROWDED_OUT, Signal.OVER);
    }

    private void giveUp(End how, Signal signal) {
        end(how);
        if (ending.end() != how) {
            // The backend's side was over; the client's is over now.
            ending = new Ending(how, place);
        }
        waiting = false;
        behind = false;
        on(signal);
        owner.end(how);
    }

    // ---- Time -----------------------------------------------------------------------------------------

    /** When to look at it again, at the latest; {@link #NEVER} if only after the next signal. */
    public long wakeAt() {
        promised = due();
        return promised;
    }

    private long due() {
        if (state == State.ENDED || state == State.BROKEN) {
            return NEVER;
        }
        return Math.max(notBefore, behind ? readerDueAt() : waiting ? backendDueAt() : NEVER);
    }

    private long readerDueAt() {
        long patience = all.rules().readerPatience();
        return tookAt + (state == State.READER_SLOW ? Math.min(IDLE, patience / 2) : patience);
    }

    private long backendDueAt() {
        return switch (state) {
            case TURNED_AWAY -> NEVER;
            case STALLED -> cutAt();
            default -> Math.min(cutAt(), unusualAt());
        };
    }

    /** When the present silence has lasted too long. */
    private long cutAt() {
        Rules rules = all.rules();
        if (place == Place.MIDWAY) {
            return heardAt + (all.common() ? rules.mostSilence() : all.allowedGap(backend));
        }
        // What follows a head is due soon, whatever is usual; what precedes it has the time that the module gave it.
        long latest = place == Place.BEFORE_EVENT ? heardAt + rules.mostSilence() : NEVER;
        // A first event that has begun is no longer waited for: its stream is sound while its pieces come.
        return rules.learned() && events && again && held == 0 ? Math.min(latest, firstCutAt()) : latest;
    }

    /** What remains must do for another attempt, or the wait goes on. */
    private long firstCutAt() {
        long at = firstUnusualAt();
        if (at != NEVER && all.common()) {
            at = Math.max(at, sentAt + all.rules().mostSilence());
        }
        return at > until - ROOM_FOR_ANOTHER * all.usual().typicalWait(promptTokens) ? NEVER : at;
    }

    private long firstUnusualAt() {
        long usual = all.usual().wait(backend, promptTokens, all.rules().suspicion());
        return usual >= NEVER - sentAt ? NEVER : sentAt + Math.max(all.rules().leastWait(), usual);
    }

    private long unusualAt() {
        if (!all.rules().learned() || !events) {
            return NEVER;
        }
        if (place != Place.MIDWAY) {
            return firstUnusualAt();
        }
        long usual = all.usual().gap(backend, all.rules().suspicion());
        return usual >= NEVER - heardAt ? NEVER : heardAt + usual;
    }

    /** The time of {@link #wakeAt} has come, or an earlier one. */
    public void wake(long now) {
        if (now < due()) {
            return;
        }
        if (now - promised > LATE && looks < SECOND_LOOKS) {
            looks++;
            notBefore = now + SECOND_LOOK;
            return;
        }
        if (behind) {
            if (state == State.READER_SLOW) {
                on(Signal.IDLE);
                if (!parked) {
                    parked = true;
                    owner.parked();
                }
            } else {
                giveUp(End.READER_STOPPED, Signal.GIVEN_UP);
            }
            return;
        }
        on(Signal.UNUSUAL);
        if (now >= cutAt()) {
            gaveUpAt = now;
            giveUp(End.STALLED, Signal.SILENCE);
        }
    }
}
