package fawnlb.messages;

import fawnlb.actor.Timers;
import fawnlb.backend.Parcel;
import fawnlb.client.Replies;
import fawnlb.dialect.ErrorBody;
import fawnlb.stream.Ending;
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
    BrokerReplies(
            FlowRecord record, boolean stream, Parcel.Tally tally, FlowLog log, Timers timers, LongConsumer settle) {
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
    public Reply refused(Ending cause) {
        return reply(
                StatusCodes.SERVICE_UNAVAILABLE,
                cause == null
                        ? "no room at the moment; try again later"
                        : "not served (" + cause.word() + "); try again later");
    }

    @Override
    public Reply failed(Ending cause) {
        return reply(Replies.failedStatus(cause), cause == null ? "failed" : "failed (" + cause.word() + ")");
    }

    @Override
    public String broken(Ending cause) {
        // Behind the last event there is nothing to add: the client has its answer.
        return stream && tally.status() == StatusCodes.OK && !tally.finished()
                ? ErrorBody.event(
                        record.dialect(), StatusCodes.BAD_GATEWAY, "the answer broke off (" + cause.word() + ")")
                : "";
    }

    private Reply reply(int status, String text) {
        return new Reply(status, "application/json", ErrorBody.write(record.dialect(), status, text));
    }

    @Override
    public void finished(End end, int status, Ending cause) {
        // Nothing was made for a fixed response; a broken or left stream may have cost all that was booked.
        boolean rejected = tally.status() != StatusCodes.OK;
        boolean none = rejected || end == End.REFUSED || end == End.FAILED;
        settle.accept(none ? 0 : tally.tokens() > 0 ? tally.tokens() : -1);
        log.write(
                record,
                rejected ? "rejected" : end.name().toLowerCase(Locale.ROOT),
                status,
                cause,
                tally,
                timers.now());
    }
}
