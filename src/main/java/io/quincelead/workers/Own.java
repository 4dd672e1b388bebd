package io.quincelead.workers;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.net.Request;
import io.quincelead.records.JobTable;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A machine of our block and what we know of it under the current term. */
public final class Own {
    /** States of a machine of our block; {@link #become} is the one function that changes them. */
    public enum Phase {
        /** Granted; no message bearing our term has come from it. Nothing may be concluded or started. */
        CLAIMING,
        /** It has shown our term: its reports are evidence. */
        FENCED,
        /** Its return has been recorded or is being recorded. */
        LEAVING
    }

    private static final Logger LOG = LoggerFactory.getLogger(Own.class);
    private final Loop loop;
    private final JobTable jobs;
    private final double reportS;
    private final long silentMs;
    public final String host;
    public final long term;
    /** Generation of the grant: until the watch has passed it, records of what was there before may be out of date. */
    final long grantedAt;
    private Phase phase = Phase.CLAIMING;
    String addr;
    long tenure = -1;
    long serial = -1;
    long reportTenure = -1;
    long reportSerial = -1;
    /** When it last reported or, before that, first answered: a machine that only answers gets no start and reaches nobody. */
    long heardAt;
    long reportedAt;
    /** Whether anything came from it under this term: before, it may still be booting. */
    boolean heard;
    long claimedAt;
    double warningS = -1;
    long warnedAt;
    /** Reports in a row that didn't show what the answer to an earlier one had started; when the first of them came. */
    int missed;
    long missedSince;
    /** When its first report came; a machine that boots is granted long before. */
    private long firstReportAt = -1;
    int failuresInRow;
    final Set<String> failedJobs = new HashSet<>();
    long fullUntil;
    Map<String, Report.Shown> list = Map.of();
    Request parked;
    long parkedUntil;
    boolean parkedIdle;

    /** {@code silentMs}: how long its silence is borne. */
    Own(Loop loop, JobTable jobs, double reportS, long silentMs, String host, long term, long grantedAt) {
        this.loop = loop;
        this.jobs = jobs;
        this.reportS = reportS;
        this.silentMs = silentMs;
        this.host = host;
        this.term = term;
        this.grantedAt = grantedAt;
        this.heardAt = loop.now();
    }

    Phase phase() {
        return phase;
    }

    void become(Phase next) {
        if (phase != next) {
            LOG.debug("machine {} {} -> {}", host, phase, next);
            phase = next;
        }
    }

    /** Whether this very report, or one that the worker sent after it, came before. */
    boolean seen(Report r) {
        return !Report.newer(r.tenure, r.serial, reportTenure, reportSerial);
    }

    /**
     * Whether it reports but shows again and again that our answers don't reach it. What we start there never begins, and what it
     * runs ends with its lease, though it seems as well as any other.
     */
    boolean deaf() {
        return missed >= Constants.DEAF_REPORTS;
    }

    /** Whether it has reported for so long, ms, without showing that it hears us. */
    boolean deafFor(long ms) {
        return deaf() ? loop.now() - missedSince > ms : phase == Phase.CLAIMING && firstReportAt >= 0 && loop.now() - firstReportAt > ms;
    }

    void reported() {
        reportedAt = loop.now();
        firstReportAt = firstReportAt < 0 ? reportedAt : firstReportAt;
    }

    /** Whether it hasn't reported for so long that it may reach nobody: no start can leave for it, but it may answer when it is asked. */
    boolean quiet() {
        return phase == Phase.FENCED && loop.now() - heardAt > silentMs / 2;
    }

    /** It has answered a direct command. */
    void obeyed() {
        missed = 0;
    }

    /** A report has been judged: {@code lacking}, a start of ours did not arrive; {@code shown}, one did. */
    void heardUs(boolean shown, boolean lacking) {
        if (shown) {
            missed = 0;
        } else if (lacking) {
            missedSince = missed == 0 ? loop.now() : missedSince;
            missed++;
        }
    }

    /** Whether new tasks may go there. */
    public boolean fit() {
        return phase == Phase.FENCED && !deaf() && warningS < 0 && failuresInRow < Constants.SICK_FAILURES && loop.now() >= fullUntil
                && loop.now() - heardAt < silentMs / 2;
    }

    /** Seconds until a start can leave for it: an open answer takes one along at once. */
    public double reachS() {
        return parked != null ? 0 : Math.max(0, Math.min(reportS, reportS - (loop.now() - reportedAt) / 1000.0));
    }

    public boolean draining() {
        return warningS >= 0;
    }

    public double warningLeftS() {
        return warningS - (loop.now() - warnedAt) / 1000.0;
    }

    /** Whether nothing shows that it ever came up. */
    public boolean booting() {
        return !heard && jobs.on(host).isEmpty();
    }
}
