package fawnlb.lab.load;

import java.util.Map;

/**
 * A request that a {@link LoadClient} sends.
 *
 * @param id request id, by which rules and backends know the request
 * @param path path with query
 * @param headers further headers beside the request id and the body's length
 */
public record ClientRequest(String id, String path, Map<String, String> headers, String body) {}
