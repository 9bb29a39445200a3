package fawnlb.server;

/** Endpoint lists as discovery sends them, one JSON object in a line. */
final class EndpointLists {
    /** The host type of backends that speak the chat dialect. */
    static final String CHAT_HOST = "c";
    /** The host type of backends that speak the messages dialect. */
    static final String MESSAGES_HOST = "m";

    private static final String READY = "ready";

    private EndpointLists() {}

    static String endpoint(int number, String address, String hostType, String phase) {
        return "{\"id\":\"s-0000000" + number + "\",\"host_port\":\"" + address + "\",\"locality\":\"a\",\"flavor\":\""
                + hostType + "\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1,\"up_since_ms\":0}";
    }

    static String ready(int number, String address) {
        return endpoint(number, address, CHAT_HOST, READY);
    }

    static String ready(int number, FakeHttpServer backend) {
        return ready(number, backend.address());
    }

    static String inPhase(String phase, int number, FakeHttpServer backend) {
        return endpoint(number, backend.address(), CHAT_HOST, phase);
    }

    /** Returns a list that replaces all endpoints known so far. */
    static String completeList(int revision, String... endpoints) {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", endpoints) + "]}\n";
    }

    /** Returns a list of endpoints that have changed. */
    static String update(int revision, String... endpoints) {
        return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + String.join(",", endpoints) + "]}\n";
    }
}
