package fawnlb.decision;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The identity of an endpoint: two endpoints are one if their whole names are equal, and only then.
 *
 * <p>Its place on the hash ring is derived from {@link #ringSeed}, which depends on the name alone. Instances that
 * learn of an endpoint at other times, from other lists or from a snapshot agree on its place. Two names may have one
 * seed; their endpoints stay two, and share their points on the ring.
 *
 * @param name the whole name by which discovery lists the endpoint
 * @param ringSeed a hash of the name, or the number itself where the host has numbers for names
 */
public record EndpointId(String name, long ringSeed) implements Comparable<EndpointId> {
    /** The identity of the endpoint that discovery lists under this name. */
    public static EndpointId of(String name) {
        return new EndpointId(name, MurmurHash3.hash128x64(name.getBytes(StandardCharsets.UTF_8))[0]);
    }

    /** The identity of an endpoint whose host, such as the simulator, has numbers for names. */
    public static EndpointId ofNumber(long number) {
        return new EndpointId(Long.toString(number), number);
    }

    /** Names order endpoints in the same way at every instance. */
    @Override
    public int compareTo(EndpointId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(ringSeed, other.ringSeed);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointId id && ringSeed == id.ringSeed && name.equals(id.name);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(ringSeed);
    }

    /** The name. */
    @Override
    public String toString() {
        return name;
    }
}
