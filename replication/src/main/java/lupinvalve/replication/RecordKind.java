package lupinvalve.replication;

/** The kinds of records in a segment; each record begins with its kind's number. */
final class RecordKind {
    static final int ENTRY = 1;
    static final int CUT_FROM = 2;
    static final int TERM = 3;
    static final int FOUNDERS = 4;
    static final int SELF = 5;
    static final int COMMITTED = 6;
    /** No kind's number is greater. */
    static final int MOST = 100;

    private RecordKind() {}
}
