package lupinvalve.scale;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * What one run measured. Times in milliseconds, processor time as a part of one core, sizes in bytes or megabytes; null
 * where it was not measured. "Control" is the mean hollow pooler, its host's process counted whole; "idle" is before
 * the load begins.
 *
 * @param controlBytesPerS both ways
 * @param leaderBytesPerS both ways, at the member that leads
 * @param memberCpuCore mean of the members that follow
 * @param herdReadyMs until the last of a herd acts on what holds
 * @param joinMs median of single starts until the pooler acts on what holds
 * @param toldMs until the last pooler had heard of a db node's hold, as a change of primary tells it
 * @param unleasedOldMs time in which poolers acted on an old version without a lease, in all
 * @param realRssMb mean of whole daemons, fronts included
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
