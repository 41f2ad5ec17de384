package lupinvalve.scale;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * Measurements of one run. Times are in milliseconds, processor time is a share of one core, sizes are in bytes or
 * megabytes; null means not measured. "Control" is the mean hollow pooler: its host's whole process divided by the
 * number of poolers. "Idle" is before the load starts. "Real" is a complete daemon.
 *
 * @param controlBytesPerS both directions
 * @param leaderBytesPerS both directions, at the leader
 * @param memberCpuCore mean of the followers
 * @param herdReadyMs time until the last pooler of a zone, restarted together, acts on the current revision
 * @param joinMs median time from a single start until the pooler acts on the current revision
 * @param toldMs time until the last pooler had received the hold of a db node, as a change of primary sends it
 * @param unleasedOldMs total time in which poolers acted on an old version after the limit
 * @param realRssMb mean of complete daemons, client listeners included
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
@JsonInclude(JsonInclude.Include.NON_NULL)
record Metrics(
        Double inForceP50Ms,
        Double inForceP99Ms,
        Double inForceMaxMs,
        Double realInForceMaxMs,
        Double controlCpuCore,
        Double controlBytesPerS,
        Double controlBytesInPerS,
        Double controlBytesOutPerS,
        Double controlMessagesPerS,
        Double controlRssMb,
        Double controlHeapMb,
        Double idleCpuCore,
        Double idleBytesPerS,
        Double leaderCpuCore,
        Double leaderIdleCpuCore,
        Double leaderBytesPerS,
        Double leaderMessagesPerS,
        Double leaderRssMb,
        Double memberCpuCore,
        Double realRssMb,
        Long logBytes,
        Long snapshotBytes,
        Double herdReadyMs,
        Double rackReadyMs,
        Double regionReadyMs,
        Double joinMs,
        Double joinMaxMs,
        Double toldMs,
        Double putP50Ms,
        Double putP99Ms,
        Double failoverMs,
        Double unleasedOldMs,
        Long documentBytes) {}
