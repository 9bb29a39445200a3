package fawnlb.syslog;

import java.util.Map;

/**
 * One element of structured data (RFC 5424, section 6.3).
 *
 * @param id the element's SD-ID, such as {@code name@32473}
 * @param parameters names and values in the order in which they are written
 */
public record StructuredData(String id, Map<String, String> parameters) {}
