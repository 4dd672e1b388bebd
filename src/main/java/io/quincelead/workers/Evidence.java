package io.quincelead.workers;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.records.Job;
import io.quincelead.records.JobTable;
import io.quincelead.records.Placement;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What workers' lists prove: which tasks are there, which are over, and whose fault a failure is. Nothing follows from time alone. */
final class Evidence {
    private static final Logger LOG = LoggerFactory.getLogger(Evidence.class);
    private final Loop loop;
    private final JobTable jobs;
    private final Desk.Office office;

    Evidence(Loop loop, JobTable jobs, Desk.Office office) {
        this.loop = loop;
        this.jobs = jobs;
        this.office = office;
    }

    /**
     * Takes a worker's list as evidence, if it is newer than all before and bears our term. A body of {@code /orders}
     * may overtake the answer to a report, so it never proves that a start of ours did not arrive.
     */
    boolean absorb(Own o, Report body, boolean isReport) {
        long tenure = body.tenure;
        long serial = body.serial;
        if (!Report.newer(tenure, serial, o.tenure, o.serial)) {
            return false;
        }
        o.tenure = tenure;
        o.serial = serial;
        if (isReport) {
            o.reported();
            o.reportTenure = tenure;
            o.reportSerial = serial;
        }
        o.heardAt = isReport || !o.heard ? loop.now() : o.heardAt;
        o.heard = true;
        if (body.warningS >= 0) {
            if (o.warningS < 0) {
                LOG.info("machine {} will be taken back in {} s", o.host, body.warningS);
                office.wake();
            }
            o.warningS = body.warningS;
            o.warnedAt = loop.now();
        }
        if (body.epoch != o.term) {
            return true;
        }
        if (o.phase() == Own.Phase.CLAIMING) {
            o.become(Own.Phase.FENCED);
            office.wake();
        }
        o.list = body.members;
        if (isReport) {
            arrivals(o);
        }
        for (Placement p : jobs.on(o.host).values()) {
            judge(o, p, Report.Shown.of(o.list.get(p.name()), p.attempt));
        }
        return true;
    }

    /** Looks whether the starts that were sent and not yet seen have arrived: only those, for every report passes here. */
    private void arrivals(Own o) {
        boolean shown = false;
        boolean lacking = false;
        for (Placement p : jobs.on(o.host).values()) {
            if (p.phase() == Placement.Phase.SENT) {
                boolean there = Report.Shown.of(o.list.get(p.name()), p.attempt) != null;
                shown |= there;
                lacking |= !there && answered(o, p);
            }
        }
        o.heardUs(shown, lacking);
    }

    /** Whether the machine has reported again since the answer that carried the start, or has begun another session, which drops that answer. */
    static boolean answered(Own o, Placement p) {
        return p.phase() == Placement.Phase.SENT && (Report.newer(o.reportTenure, o.reportSerial, p.sentTenure, p.sentSerial) || o.tenure > p.sentTenure);
    }

    private void judge(Own o, Placement p, Report.Shown entry) {
        if (p.over()) {
            return;
        }
        if (entry == null) {
            if (p.phase() == Placement.Phase.SEEN) {
                lost(o, p, "no longer on");
            } else if (answered(o, p) || p.phase() == Placement.Phase.RECORDED) {
                // It never arrived there. The record stands, so its start may be sent (again), unless it is unwanted or nothing arrives.
                if (p.stop || p.job.cancelled() || o.deaf() || o.quiet()) {
                    lost(o, p, "never reached");
                }
            }
            return;
        }
        if (!entry.ended()) {
            p.become(Placement.Phase.SEEN);
            if (entry.status.equals("running") && p.runningSince == 0) {
                p.runningSince = loop.now();
            }
            p.reported = entry.status;
            return;
        }
        Job job = p.job;
        switch (entry.reason) {
            case "done" -> {
                p.become(Placement.Phase.DONE);
                o.failuresInRow = 0;
                o.failedJobs.clear();
                job.failures = 0;
                job.successes++;
                office.over(p);
            }
            case "error" -> {
                failed(o, job);
                lost(o, p, "failed on");
            }
            case "full" -> {
                o.fullUntil = loop.now() + Constants.FULL_PAUSE_MS;
                lost(o, p, "refused (full) by");
            }
            case "busy" -> {
                // Another attempt of the task is there: only its end makes the task free to go elsewhere.
                Report.Shown any = o.list.get(p.name());
                if (any != null && any.ended()) {
                    lost(o, p, "refused (busy) by");
                }
            }
            case "unknown" -> {
                job.notBefore = loop.now() + Constants.JOB_BACKOFF_MS;
                lost(o, p, "refused (unknown) by");
            }
            default -> lost(o, p, "stopped (" + entry.reason + ") on");
        }
    }

    private void lost(Own o, Placement p, String how) {
        LOG.debug("task {} try {} {} {}", p.name(), p.attempt, how, o.host);
        p.become(Placement.Phase.GONE);
        office.over(p);
    }

    /** Blames the machine if other jobs fail there too or the job does well elsewhere; else the job, which pauses. */
    private void failed(Own o, Job job) {
        o.failuresInRow++;
        o.failedJobs.add(job.spec.id());
        job.failures++;
        job.failedOn.add(o.host);
        // What others saw end well counts too: this process may be new.
        if (job.successes == 0 && job.doneCount() == 0 && job.failures >= 2 && o.failedJobs.size() == 1) {
            // Where it has failed often and on no other machine, nothing will ever show whose fault it is: once, the machine goes.
            boolean lone = job.failedOn.size() == 1 && job.failures >= Constants.LONE_FAILURES;
            o.failuresInRow = lone ? Constants.SICK_FAILURES : Math.min(o.failuresInRow, Constants.SICK_FAILURES - 1);
        }
        if (job.failures >= 2) {
            long pause = Constants.JOB_BACKOFF_MS << Math.min(job.failures - 2, 10);
            job.notBefore = loop.now() + Math.min(pause, Constants.JOB_BACKOFF_MAX_MS);
        }
    }
}
