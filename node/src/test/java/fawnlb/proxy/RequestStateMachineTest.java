package fawnlb.proxy;

import static fawnlb.proxy.RequestStateMachine.stateAfter;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class RequestStateMachineTest {
    private static RequestState stateAfterAll(RequestEvent... events) {
        RequestState state = RequestState.RECEIVED;
        for (RequestEvent event : events) {
            state = stateAfter(state, event);
        }
        return state;
    }

    @Test
    public void failedAttemptReturnsTheRequestToTheLoadBalancer() {
        assertEquals(
                RequestState.AWAITING_DECISION,
                stateAfterAll(RequestEvent.ADMITTED, RequestEvent.ATTEMPT_STARTED, RequestEvent.ATTEMPT_ENDED));
    }

    @Test
    public void streamedResponseAnswersTheRequest() {
        RequestState streaming =
                stateAfterAll(RequestEvent.ADMITTED, RequestEvent.ATTEMPT_STARTED, RequestEvent.RESPONSE_STARTED);
        assertEquals(RequestState.STREAMING, streaming);
        assertTrue(streaming.isAnswered());
        assertEquals(RequestState.ANSWERED, stateAfter(streaming, RequestEvent.ATTEMPT_ENDED));
    }

    @Test
    public void closedRequestWaitsForTheEndOfItsAttempt() {
        RequestState stopping = stateAfterAll(RequestEvent.ADMITTED, RequestEvent.ATTEMPT_STARTED, RequestEvent.CLOSED);
        assertEquals(RequestState.STOPPING_ATTEMPT, stopping);
        assertEquals(
                "a client can leave after it was rejected",
                RequestState.STOPPING_ATTEMPT,
                stateAfter(stopping, RequestEvent.CLOSED));
        assertEquals(RequestState.ANSWERED, stateAfter(stopping, RequestEvent.ATTEMPT_ENDED));
    }

    @Test
    public void answeredRequestNeverChanges() {
        for (RequestEvent event : RequestEvent.values()) {
            assertThrows(IllegalStateException.class, () -> stateAfter(RequestState.ANSWERED, event));
        }
    }

    @Test
    public void answeredRequestStartsNoAttempt() {
        for (RequestState state : RequestState.values()) {
            if (state.isAnswered()) {
                assertThrows(IllegalStateException.class, () -> stateAfter(state, RequestEvent.ATTEMPT_STARTED));
                assertThrows(IllegalStateException.class, () -> stateAfter(state, RequestEvent.RESPONSE_STARTED));
            }
        }
    }

    @Test
    public void secondAttemptCannotStartBesideTheFirst() {
        assertThrows(
                IllegalStateException.class, () -> stateAfter(RequestState.ATTEMPTING, RequestEvent.ATTEMPT_STARTED));
    }
}
