package fawnlb.platform;

/** What is done with the bodies of the platform's requests. */
public enum BodyPolicy {
    /** All backends speak the clients' dialect, so bodies are forwarded without being parsed. */
    FORWARD_UNREAD,
    /** Some backends speak the other dialect, so every request must be one that can be translated. */
    TRANSLATE
}
