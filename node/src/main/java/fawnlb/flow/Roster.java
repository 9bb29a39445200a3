package fawnlb.flow;

/** The list of targets, which tells the core only what it was asked for. */
public interface Roster {
    void subscribe();

    void fetch();
}
