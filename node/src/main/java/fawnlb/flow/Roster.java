package fawnlb.flow;

/** The list of backends, which tells the core only what it was asked for. */
public interface Roster {
    void subscribe();

    void fetch();
}
