package fawnlb.stream;

import java.util.Map;

/**
 * One backend's streams, for people.
 *
 * @param open attempts that are out, or whose client has yet to take the rest
 * @param states of those, how many are in each state that is not empty
 * @param ends how many have ended, by name
 * @param allowedGap nanoseconds of silence after which a stream of it is given up
 * @param heldBytes bytes held for its streams' clients
 */
public record Figures(
        long backend, int open, Map<State, Integer> states, Map<String, Long> ends, long allowedGap, long heldBytes) {}
