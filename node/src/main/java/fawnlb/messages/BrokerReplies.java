package fawnlb.messages;

import fawnlb.decision.Balancer.Outcome;
import fawnlb.actor.Timers;
import fawnlb.client.Replies;
import fawnlb.dialect.ErrorBody;
import fawnlb.target.Parcel;
import io.undertow.util.StatusCodes;
import java.util.Locale;
import java.util.function.LongConsumer;

/** The broker's words for one flow's answers, its record and its budget at the end. */
final class BrokerReplies implements Replies {
    private final FlowRecord record;
    private final boolean stream;
    private final Parcel.Tally tally;
    private final FlowLog log;
    private final Timers timers;
    private final LongConsumer settle;

    /** Settle: told the tokens that the flow took, below 0 if nobody knows. */
    BrokerReplies(FlowRecord record, boolean stream, Parcel.Tally tally, FlowLog log, Timers timers, LongConsumer settle) {
        this.record = record;
        this.stream = stream;
        this.tally = tally;
        this.log = log;
        this.timers = timers;
        this.settle = settle;
    }

    @Override
    public String servedType() {
        return stream && tally.status() == StatusCodes.OK ? "text/event-stream" : "application/json";
    }

    @Override
    public int servedStatus() {
        return tally.status();
    }

    @Override
    public Reply refused(Outcome cause) {
        return reply(StatusCodes.SERVICE_UNAVAILABLE, cause == null ? "no room at the moment; try again later"
                : "not served (" + word(cause) + "); try again later");
    }

    @Override
    public Reply failed(Outcome cause) {
        return reply(cause == Outcome.TIMEOUT ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY,
                cause == null ? "failed" : "failed (" + word(cause) + ")");
    }

    @Override
    public String broken() {
        return stream && tally.status() == StatusCodes.OK
                ? ErrorBody.event(record.dialect(), StatusCodes.BAD_GATEWAY, "the answer broke off") : "";
    }

    private Reply reply(int status, String text) {
        return new Reply(status, "application/json", ErrorBody.write(record.dialect(), status, text));
    }

    private static String word(Outcome cause) {
        return cause.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    @Override
    public void finished(End end, int status, Outcome cause) {
        // Nothing was made for a fixed response; a broken or left stream may have cost all that was booked.
        boolean rejected = tally.status() != StatusCodes.OK;
        boolean none = rejected || end == End.REFUSED || end == End.FAILED;
        settle.accept(none ? 0 : tally.tokens() > 0 ? tally.tokens() : -1);
        log.write(record, rejected ? "rejected" : end.name().toLowerCase(Locale.ROOT), status, cause, tally, timers.now());
    }
}
