package lupinvalve.replication;

/** The kinds of records in a log segment. Each record begins with the number of its kind, which is stored on disk. */
final class RecordKind {
    static final int ENTRY = 1;
    static final int TRUNCATE_FROM = 2;
    static final int TERM = 3;
    static final int INITIAL_MEMBERS = 4;
    static final int LOCAL_MEMBER = 5;
    static final int COMMIT_INDEX = 6;
    /** Upper limit of a kind's number when records are read. */
    static final int MAX_NUMBER = 100;

    private RecordKind() {}
}
