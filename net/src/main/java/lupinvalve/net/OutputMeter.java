package lupinvalve.net;

/**
 * Counts the memory of what has been written on connections and not been handed to their sockets, over all connections
 * that share it. Safe for all threads.
 */
interface OutputMeter {
    /** Counts nothing. */
    OutputMeter NONE = new OutputMeter() {
        @Override
        public void add(long bytes) {
            // Nothing is counted.
        }

        @Override
        public boolean isExhausted() {
            return false;
        }
    };

    /** Counts pending bytes, or releases them if the number is negative. */
    void add(long bytes);

    /** Whether so much is pending that connections whose peers do not read must be reset. */
    boolean isExhausted();
}
