package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import lupinvalve.log.Log;

/** The log segments in a member's folder: the current one and closed ones, until compaction deletes them. */
final class SegmentFiles {
    /** Prefix of the segments' file names; the segment's number follows. */
    static final String PREFIX = "history-";

    /** A segment that exceeds this is closed, and the next one started. */
    private static final int SEGMENT_MAX_BYTES = 1 << 20;

    /** @param highestIndex the highest index of an entry in the segment; 0 if it has none */
    private record ClosedSegment(long highestIndex, long sizeBytes) {}

    private final Disk disk;
    private final TreeMap<Long, ClosedSegment> closedByNumber = new TreeMap<>();
    private Disk.AppendFile current;
    private long currentNumber;
    /** The highest index of an entry in the current segment or in the next write to it. */
    private long currentHighestIndex;

    private long currentBytes;
    private long totalBytes;

    SegmentFiles(Disk disk) {
        this.disk = disk;
    }

    /**
     * Reads all segments into {@code target}.
     *
     * @param names the names of all files in the folder, sorted
     * @param repair whether to cut a file off at the start of a record that a crash has torn
     */
    void load(List<String> names, boolean repair, RestoredLog target) throws IOException {
        List<String> segments =
                names.stream().filter(name -> name.startsWith(PREFIX)).toList();
        for (int i = 0; i < segments.size(); i++) {
            boolean last = i == segments.size() - 1;
            loadSegment(segments.get(i), last, repair, target);
        }
    }

    private void loadSegment(String name, boolean last, boolean repair, RestoredLog target) throws IOException {
        byte[] file = disk.read(name);
        List<byte[]> contents = new ArrayList<>();
        long completeBytes = RecordFrames.read(name, file, last, contents);
        if (completeBytes < file.length) {
            Log.warn("store: %s: the record at byte %s was torn by a crash and is dropped", name, completeBytes);
            if (repair) {
                disk.truncate(name, completeBytes);
            }
        }
        long highestIndex = 0;
        for (byte[] content : contents) {
            highestIndex = target.readRecords(name, content, highestIndex);
        }
        currentNumber = NumberedFileName.number(name, PREFIX);
        closedByNumber.put(currentNumber, new ClosedSegment(highestIndex, completeBytes));
        totalBytes += completeBytes;
    }

    /** Records that the next write will contain an entry. */
    void onEntryAdded(long index) {
        currentHighestIndex = Math.max(currentHighestIndex, index);
    }

    /** Appends a frame to the current segment; returns once it is durable. */
    void append(byte[] frame) throws IOException {
        current.write(frame);
        current.force();
        currentBytes += frame.length;
        totalBytes += frame.length;
    }

    /** Closes the current segment, if there is one, and creates the next. */
    void startNext() throws IOException {
        if (current != null) {
            current.close();
            closedByNumber.put(currentNumber, new ClosedSegment(currentHighestIndex, currentBytes));
        }
        currentNumber++;
        currentHighestIndex = 0;
        currentBytes = 0;
        current = disk.create(NumberedFileName.of(PREFIX, currentNumber));
    }

    /** Whether the current segment has exceeded its size limit and the next one should be started. */
    boolean isFull() {
        return currentBytes > SEGMENT_MAX_BYTES;
    }

    /** Deletes closed segments, oldest first, until the next one has an entry after the index. */
    void deleteUpTo(long index) throws IOException {
        while (!closedByNumber.isEmpty()
                && closedByNumber.firstEntry().getValue().highestIndex() <= index) {
            long number = closedByNumber.firstKey();
            totalBytes -= closedByNumber.remove(number).sizeBytes();
            disk.delete(NumberedFileName.of(PREFIX, number));
        }
    }

    /** The size of all segments, in bytes. */
    long totalBytes() {
        return totalBytes;
    }

    /** Closes the current segment's file. */
    void close() throws IOException {
        if (current != null) {
            current.close();
        }
    }
}
