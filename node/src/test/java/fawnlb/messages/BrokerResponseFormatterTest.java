package fawnlb.messages;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.backend.OutboundRequest.ResponseSummary;
import fawnlb.client.ClientOutcome;
import fawnlb.client.FixedResponse;
import fawnlb.contract.Budget;
import fawnlb.eventloop.ManualTimers;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import fawnlb.translation.Dialect;
import fawnlb.translation.ErrorBody;
import org.junit.Test;

public class BrokerResponseFormatterTest {
    private static final long WINDOW_TOKENS = 100;
    private static final AttemptEnd TIMEOUT = AttemptEnd.of(EndReason.TIMED_OUT);

    private final Budget budget = new Budget(10, WINDOW_TOKENS, 60);
    private final ReservedBudget reserved = new ReservedBudget(budget, budget.reserve(0, WINDOW_TOKENS));
    private final RequestRecord record = new RequestRecord("id", Dialect.MESSAGES, 0);
    private final BrokerResponseFormatter formatter = new BrokerResponseFormatter(
            record, true, ResponseSummary.withUsage(), reserved, RequestLog.disabled(), new ManualTimers(0));

    private static FixedResponse error(int status, String message) {
        return new FixedResponse(status, "application/json", ErrorBody.json(Dialect.MESSAGES, status, message));
    }

    private boolean isWholeWindowFree() {
        return budget.reserve(1, WINDOW_TOKENS).isGranted();
    }

    @Test
    public void rejectionIsOverloadErrorWithItsCause() {
        assertEquals(error(503, "no room at the moment; try again later"), formatter.formatRejection(null));
        assertEquals(
                error(503, "not served (" + TIMEOUT.label() + "); try again later"),
                formatter.formatRejection(TIMEOUT));
    }

    @Test
    public void failureIsTimeoutOrBadGatewayByItsCause() {
        assertEquals(error(504, "failed (" + TIMEOUT.label() + ")"), formatter.formatFailure(TIMEOUT));
        assertEquals(error(502, "failed"), formatter.formatFailure(null));
    }

    @Test
    public void brokenStreamEndsWithErrorEvent() {
        assertEquals(
                ErrorBody.streamEvent(Dialect.MESSAGES, 502, "the answer broke off (" + TIMEOUT.label() + ")"),
                formatter.formatStreamError(TIMEOUT));
    }

    @Test
    public void budgetIsReleasedWhenNothingWasGenerated() {
        formatter.onExchangeFinished(ClientOutcome.REJECTED, 503, null);

        assertTrue(isWholeWindowFree());
    }

    @Test
    public void budgetIsReleasedWhenRequestFailed() {
        formatter.onExchangeFinished(ClientOutcome.FAILED, 502, TIMEOUT);

        assertTrue(isWholeWindowFree());
    }

    @Test
    public void budgetIsChargedInFullWhenInterruptedResponseReportedNoUsage() {
        formatter.onExchangeFinished(ClientOutcome.INTERRUPTED, 200, TIMEOUT);

        assertFalse(isWholeWindowFree());
    }

    @Test
    public void budgetIsChargedInFullWhenClientDisconnectedBeforeUsage() {
        formatter.onExchangeFinished(ClientOutcome.CLIENT_DISCONNECTED, 200, null);

        assertFalse(isWholeWindowFree());
    }
}
