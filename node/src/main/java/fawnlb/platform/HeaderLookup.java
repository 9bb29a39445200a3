package fawnlb.platform;

import fawnlb.http.InvalidRequestException;

/** Finds the headers of one request. */
@FunctionalInterface
interface HeaderLookup {
    /**
     * Returns the header's value, or null if the request doesn't have the header.
     *
     * @throws InvalidRequestException if the header is given more than once
     */
    String find(String name) throws InvalidRequestException;
}
