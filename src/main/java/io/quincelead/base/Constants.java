package io.quincelead.base;

/**
 * Every fixed number of the service, with its unit and the reason for its value. Numbers that an operator may
 * want to change live in {@link OperatorSettings}; numbers that the platform hands over live in {@link Settings}.
 */
public final class Constants {
    private Constants() { }

    // ---- protocol limits
    /** Bytes. The protocol's limit for a request body and for a response to workers and users. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Bytes. Room for the worst answers of the store: 512 KiB of items, or an unbounded watch response. */
    public static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;
    /** Tasks. The protocol's limit for one job. */
    public static final int MAX_TASKS = 100_000;
    /** Guards allowed for each operation of a transaction (protocol). */
    public static final int GUARDS_PER_OP = 4;
    /** Machines in one rental request (protocol); they share one record. */
    public static final int MAX_RENT = 50;
    /** Machine names in one release request (protocol). */
    public static final int MAX_RELEASE = 100;
    /** Items in one page of a store listing (protocol: at most 1,000). */
    public static final int LIST_PAGE = 500;

    // ---- records
    /** Tasks. One chunk record holds this many; 200 placements take about 5 KiB, under the 8 KiB a value may have. */
    public static final int CHUNK_TASKS = 200;

    // ---- leases and time
    /** Parts of one. Steady clocks drift by 0.05%; both ends may be off, and a lease must never be thought longer. */
    public static final double DRIFT = 0.002;
    /** Parts of a worker's lease that a controller's lease may last: a dead controller's machines must reach
     *  another one before their own lease ends. */
    public static final double LEASE_SHARE = 0.42;
    /** Renewals in one lease time: three may get lost before the lease does. */
    public static final int RENEWALS_PER_LEASE = 4;
    /** ms. The store's hold may end up to 100 ms late; a successor waits for the store, we stop this much earlier. */
    public static final long LEASE_MARGIN_MS = 150;

    // ---- timeouts (ms)
    /** ms. Store answers usually take 10 ms and at times a few hundred. */
    public static final long STORE_TIMEOUT_MS = 1500;
    /** ms. A watch is kept this long when nothing changes. */
    public static final long WATCH_HOLD_MS = 10_000;
    /** ms. A watch that says nothing this long after its hold is taken for lost. */
    public static final long WATCH_SLACK_MS = 3_000;
    /** ms. Cloud answers take about 250 ms; renting may take longer. */
    public static final long CLOUD_TIMEOUT_MS = 5_000;
    /** ms. Direct orders and peer messages are small and near. */
    public static final long NEAR_TIMEOUT_MS = 1_500;
    /** ms. Users wait 2 s for a poll and 5 s for a submission; we answer 503 well before. */
    public static final long USER_PATIENCE_MS = 1_400;
    /** ms. Idle or half-open connections from outside are closed after this. */
    public static final int SERVER_IDLE_MS = 75_000;
    /** ms. A request must have come in whole by then. */
    public static final int REQUEST_PARSE_MS = 10_000;
    /** ms. A connection of ours that is idle this long is closed before the other side may do so. */
    public static final long CLIENT_IDLE_MS = 60_000;

    // ---- pace (ms)
    /** ms. The least time between two rounds: gathers what comes together into one durable write. */
    public static final long ROUND_GAP_MS = 60;
    /** ms. The same while the store's changes are short: several changes of a record then share one write, which every controller
     *  reads once, and a round's own cost is paid less often. */
    public static final long ROUND_GAP_MAX_MS = 200;
    /** ms. Ends that nobody else waits for are gathered this long: most of a job's tasks end about the same time, and
     *  each record written costs the store a change and every controller a reading. */
    public static final long END_GATHER_MS = 2_000;
    /** ms. The same while the store's changes are short: fewer, fuller records leave changes for what users wait for. */
    public static final long END_GATHER_MAX_MS = 12_000;
    /** ms. Low work is placed this often while the store's changes are short: its room gathers meanwhile. */
    public static final long LOW_GAP_MAX_MS = 2_500;
    /** Parts of one of that shortage from which on fewer changes count for more than the work they would save. */
    public static final double PRESSED = 0.5;
    /** Parts of one that the shortage of changes counts for more with each second in which some had to wait. */
    public static final double PRESSURE_RISE = 0.25;
    /** Parts of one by which it falls with each other second. */
    public static final double PRESSURE_FALL = 0.1;
    /** ms. Ends that another controller waits for are gathered this long. */
    public static final long END_TELL_MS = 250;
    /** ms. A job waits this long for room in its controller's block before it may go to the leader. */
    public static final long HAND_OVER_AFTER_MS = 700;
    /** ms. Whether other blocks have room for jobs that wait here is looked at no oftener: it means a look at every machine. */
    public static final long ELSEWHERE_EVERY_MS = 400;
    /** ms. A gang that its team's allowance here keeps waiting this long goes to the leader; allowances move every 0.75 s. */
    public static final long GANG_HAND_OVER_MS = 2_000;
    /** Tasks. A job goes to the leader if other blocks have room for this many, or for all of it. */
    public static final int HAND_OVER_LEAST = 8;
    /** ms. Or if one machine of another block has had room for one at every look for this long: whose block it is has no use for it. */
    public static final long HAND_OVER_LASTING_MS = 10_000;
    /** ms. The longest a report's answer waits for the round that its contents caused. */
    public static final long REPORT_PATIENCE_MS = 400;
    /** ms. Polls that come within this time share one read barrier. */
    public static final long BARRIER_GAP_MS = 100;
    /** ms. Leader's housekeeping: grants, allowances, reassignment. */
    public static final long LEADER_TICK_MS = 250;
    /** ms. Machines that come up within this time are granted in one write. */
    public static final long GRANT_GAP_MS = 30;
    /** ms. Unexpected machines that report within this time are taken in together, on shared records; the cloud's list shows most first. */
    public static final long ADOPT_GAP_MS = 4_000;
    /** ms. A controller must be up this long before machines are moved to it for balance. */
    public static final long BALANCE_AFTER_MS = 4_000;
    /** Machines moved for balance in one write, at least. */
    public static final int BALANCE_MOVES = 3;
    /** Parts of the largest block moved in one write: each write costs two blocks and a term. */
    public static final double BALANCE_MOVES_SHARE = 0.15;
    /** ms. Between two such writes the moved machines are claimed by their new owner. */
    public static final long BALANCE_GAP_MS = 1_500;
    /** Blocks are left alone while the smallest has at least this part of the largest one's capacity. */
    public static final double BALANCE_SHARE = 0.55;
    /** CPUs or GPUs. Smaller changes of an allowance aren't worth a write. */
    public static final double ALLOWANCE_STEP = 0.25;
    /** ms. Allowances are looked at this often: each change rewrites blocks, and every round in flight fails on it. */
    public static final long ALLOWANCES_EVERY_MS = 750;
    /** Parts of a team's limit. A controller with this much left of its allowance isn't given a little more or less. */
    public static final double ALLOWANCE_NEAR = 0.03;
    /** ms. Less urgent work leaves room to the leader's more urgent work for this long; by then the leader would have used it. */
    public static final long LEADER_FIRST_MS = 3_000;
    /** ms. Renting and returning are decided this often. */
    public static final long RENT_TICK_MS = 1_000;
    /** ms. Waiting work is looked at this often though nothing was heard. */
    public static final long IDLE_ROUND_MS = 500;
    /** ms. Machine health is checked this often. */
    public static final long WORKER_TICK_MS = 500;
    /** ms. Wait before a failed exchange with the store is tried again. */
    public static final long RETRY_MS = 200;
    /** Parts of the store's request limit that the watches of all controllers together may use. */
    public static final double WATCH_SHARE = 0.36;
    /** ms. No two looks at the store's news follow each other faster: news come together, and each look costs a turn of the loop. */
    public static final long WATCH_LEAST_MS = 80;

    /** ms. Pause of what users wait for when the store's limit of the moment is used up. */
    public static final long BUSY_PAUSE_MS = 80;
    /** Changes. A round waits until it may make this many, so that few large ones are written instead of many small. */
    public static final int ROUND_LEAST_CHANGES = 3;
    /** ms. The share of the store's changes is looked at this often. */
    public static final long SHARE_TICK_MS = 1_000;
    /** Times. A controller that had to wait asks for this much more. */
    public static final double SHARE_GROW = 1.2;
    /** Times. After a refusal, it asks for this much. */
    public static final double SHARE_SHRINK = 0.7;
    /** Parts of an even share below which no controller falls. */
    public static final double SHARE_LEAST = 0.8;
    /** Parts of the store's limit that one controller may take when the others need little. */
    public static final double SHARE_MOST = 0.7;

    // ---- workers
    /** ms added to a worker's lease before its silence is taken for a dead or hung machine. */
    public static final long SILENCE_SLACK_MS = 2_000;
    /** Parts of a worker's lease for which a controller cut off from the store answers another one's worker before it sends it on. */
    public static final double KEEP_ALIVE_SHARE = 0.3;
    /** ms. A worker waits 4 s for a controller's answer and 1 s before it tries the next one (protocol). */
    public static final long WORKER_TRY_MS = 5_000;
    /** Times that a worker must be able to try all other controllers within its lease to be sent looking for its owner. */
    public static final double KEEP_ALIVE_TRIES = 1.5;
    /** Reports. A machine from which none of this many came counts as not heard when a zone is judged. */
    public static final double HEARD_REPORTS = 2.5;
    /** Machines of a zone below which nothing is concluded about the zone. */
    public static final int ZONE_LEAST = 2;
    /** Parts of a zone's machines: with fewer heard, the zone is taken for cut off. */
    public static final double ZONE_HEARD_SHARE = 0.3;
    /** Leases of a worker for which the silence of machines in a zone that is cut off is borne. */
    public static final double ZONE_PATIENCE_LEASES = 6;
    /** ms. A machine that reports to the wrong controller this long is moved: its owner can't be reached. */
    public static final long STRAY_MS = 2_500;
    /** Failures in a row of one job, all on the same machine, after which that machine is given up though nothing else failed there. */
    public static final int LONE_FAILURES = 8;
    /** Reports of a worker, with what was asked for the check itself, by which it may have moved on since it reported here. */
    public static final int STRAY_SERIALS = 3;
    /** ms between questions to a machine that doesn't report: rare enough for hundreds of them, each of which may cost a connection that hangs. */
    public static final long QUIET_ASK_MS = 4_000;
    /** Reports in a row that lack what the answers before them started: one answer may be late or lost, more are no accident. */
    public static final int DEAF_REPORTS = 2;
    /** Failures in a row, without a success between, that make a machine suspect. */
    public static final int SICK_FAILURES = 3;
    /** ms. First pause of a job whose tasks fail everywhere; doubles with each failure. */
    public static final long JOB_BACKOFF_MS = 1_000;
    /** ms. The longest such pause. */
    public static final long JOB_BACKOFF_MAX_MS = 30_000;
    /** ms. A machine that refused a start for want of room gets no new one for this long. */
    public static final long FULL_PAUSE_MS = 2_000;
    /** Parts of cancel_s after which a machine that hasn't shown a cancelled task gone is returned. */
    public static final double CANCEL_RELEASE_SHARE = 0.5;

    /** Orders in one message: 400 of them stay well under 64 KiB. */
    public static final int MAX_ORDERS = 400;
    /** ms. A kill without effect is repeated after this. */
    public static final long KILL_AGAIN_MS = 2_000;
    /** Parts of report_s for which the answer to an idle machine's report is kept open for a start. */
    public static final double PARK_IDLE_SHARE = 0.9;
    /** The same for a machine whose tasks end: its next report, maybe of an end, waits for the answer. */
    public static final double PARK_BUSY_SHARE = 0.3;
    /** ms. Workers drop answers after 4 s; none is kept open longer than this. */
    public static final long PARK_MAX_MS = 3_300;
    /** ms. Answers whose time is up within the same such span leave together, in one turn of the loop. */
    public static final long PARK_GRID_MS = 50;

    // ---- cloud
    /** Times the nominal boot time after which a booting machine is given up. */
    public static final double BOOT_PATIENCE = 2.6;
    /** ms added to that for the worker's first report. */
    public static final long BOOT_SLACK_MS = 15_000;
    /** ms. First pause after a refusal for want of capacity; doubles to the maximum. */
    public static final long NO_CAPACITY_MS = 8_000;
    /** ms. The longest such pause. */
    public static final long NO_CAPACITY_MAX_MS = 45_000;
    /** s. A machine is expected to stay about this long: spreads the cost of its start over its work. */
    public static final double EXPECTED_STAY_S = 300;
    /** s. Short average of the arriving work: notices when a load has ended. */
    public static final double LOAD_SHORT_S = 60;
    /** s. Long average of the arriving work: one large job does not look like a load. */
    public static final double LOAD_LONG_S = 180;
    /** s. Less time than this says little of a rate. */
    public static final double LOAD_LEAST_S = 40;
    /** Parts of the capacity that must be missing in time before dear machines are rented for it. */
    public static final double DEAR_SHARE = 0.08;
    /** Times. The usual load's work is multiplied by this: boots, fetches and gaps between tasks take their part. */
    public static final double LOAD_MARGIN = 1.1;
    /** s. A machine rented now helps after about this long. */
    public static final double TYPICAL_BOOT_S = 25;
    /** s. Work due sooner than this is counted as due then: no machine rented now can help it earlier. */
    public static final double SOONEST_HELP_S = 70;
    /** Parts of the waiting CPUs for which cheap machines are rented at once, whatever the due times. */
    public static final double CHEAP_SHARE = 0.6;
    /** s. Within this time work that is late already should be done: hurry doesn't help it any more. */
    public static final double LATE_DRAIN_S = 90;
    /** Parts of the waiting CPUs that count as open load: most of a burst waits only until room comes free. */
    public static final double OPEN_WAITING_SHARE = 1.0;
    /** CPUs. With nothing waiting, no machine is rented for a smaller usual load than this. */
    public static final double CHEAP_LEAST_CPUS = 4;
    /** CPUs. Up to this many in use, spare capacity is the operators' headroom of it; beyond, it grows with the root only, as
     *  the ups and downs of many independent jobs do. */
    public static final double HEADROOM_CPUS = 200;
    /** Records of machines closed or opened in one write, if the store's share of the moment allows it. */
    public static final int CLOSE_WRITES = 10;
    /** Times its CPUs that must be spare before a machine is closed: keeps it from being opened again at once. */
    public static final double CLOSE_MARGIN = 1.3;
    /** CPUs. A dear machine of this size is counted at twice its price, for the time it takes to run empty. */
    public static final double SLOW_EMPTY_CPUS = 40;
    /** ms. A task that saves is moved off a closed machine only after it has run this long: starts count after 30 s. */
    public static final long MOVE_AFTER_MS = 32_000;
    /** CPUs. Of a larger machine only this much must be spare: its tasks leave one by one, so its room goes slowly. */
    public static final double CLOSE_MOST_CPUS = 24;
    /** s. A machine is not closed before it has been paid for this long. */
    public static final double CLOSE_AFTER_S = 50;
    /** Rentals whose outcome is open at one time: the cloud takes few calls a second. */
    public static final int MAX_RENTALS_OPEN = 6;
    /** ms. Marked machines are released this often. */
    public static final long RELEASE_TICK_MS = 300;
    /** ms. A released machine may still be listed this long. */
    public static final long FORGET_RELEASED_MS = 180_000;
    /** ms. The machine list is read this often, to find unexpected machines. */
    public static final long LIST_EVERY_MS = 10_000;
    /** List lags. A leader trusts the list on unexpected machines after this time: what its predecessor returned is gone from it by then. */
    public static final double STRANGER_LAGS = 4;
    /** ms. Current prices are read this often. */
    public static final long CATALOG_EVERY_MS = 60_000;
    /** s. The minimum charge of a machine (protocol). */
    public static final double MIN_CHARGE_S = 60;

    // ---- placing
    /** Parts of the time within which a job should have begun from which on its first tasks come before other teams' surplus: up to a quarter
     *  of that time may have passed before it was accepted. */
    public static final double LATE_FROM = 0.375;
    /** Parts of that time by which the stated share of its tasks do. */
    public static final double LATE_TO = 0.8;
    /** s. From this age on, work for which nobody states a bound may use machines that should be left to others. */
    public static final double LATE_AFTER_S = 90;
    /** ms. And work of which nothing found a place for so long, whatever its age: users bear 90 s while a machine has room. */
    public static final long PASSED_OVER_MS = 60_000;
    /** One and so many parts of a job's tasks are what it begins with, before any other late job gets more. */
    public static final int LATE_BEGIN_PART = 100;
    /** Records of each change that are kept for such tasks, and, while changes are short, as many as a round writes for them. */
    public static final int LATE_RECORDS = 2;
    /** Parts of a block's machines that are left to run empty for tasks of such jobs that find no room whole. */
    public static final double HOLD_SHARE = 0.08;
    /** Parts of them that may be left to run empty for one gang, whose tasks need their room at one time. */
    public static final double HOLD_GANG_SHARE = 0.2;
    /** Machines that may be, however few there are. */
    public static final int HOLD_LEAST = 2;
    /** ms. Machines that constrained work (GPUs, types, zones, services, no spot machines) asked for are kept for more of it this long. */
    public static final long KIND_REMEMBERED_MS = 300_000;
    /** Kinds of constrained work remembered: each is looked at for each machine. */
    public static final int KINDS_REMEMBERED = 40;
    /** s. A service is ranked as if it ran this long: of machines alike, the one that starts it soonest is best. */
    public static final double SERVICE_RANK_S = 30;
    /** s. Low work leaves free what urgent work that may not use every machine would ask for in this time, at the rate of late. */
    public static final double RESERVE_S = 15;
    /** s. The rate is taken over this time. */
    public static final double RESERVE_WINDOW_S = 45;
    /** Times. Estimates are often wrong by half: a job is ranked as if it took this many times as long. */
    public static final double ESTIMATE_DISTRUST = 1.3;
    /** s added to twice the estimate as the due time of a job for which nobody states one. */
    public static final double UNSTATED_DUE_S = 300;
    /** s. A task expected to end within this time is not stopped for another: its room comes by itself. */
    public static final double NEARLY_DONE_S = 5;
    /** ms. A peer's word on its machines counts this long; without it the leader leaves that block alone. */
    public static final long PEER_NEWS_MS = 3_000;
    /** ms. Controllers tell the leader of their machines' fitness this often. */
    public static final long PEER_TELL_MS = 700;

    // ---- operators' records
    /** Priority classes that operators may define. */
    public static final int MAX_CLASSES = 128;
    /** The largest rank of a class. */
    public static final int MAX_RANK = 1_000;
    /** Rank of a job that no class matches: in the middle, so that classes can be set before and behind the rest. */
    public static final int MIDDLE_RANK = 500;
    /** s. The users want every job begun within four minutes; a class may say otherwise. */
    public static final double BEGIN_WITHIN_S = 240;
    /** s. The longest that a class may let its jobs wait. */
    public static final double MAX_BEGIN_S = 86_400;
    /** Parts of a job's tasks that should have begun by then. */
    public static final double LEAST_SHARE = 0.5;
    /** Characters of the classes' text in one record; escaped, they still fit the 8 KiB that a value may have. */
    public static final int CLASSES_PART_CHARS = 3_500;
    /** Records of one generation of classes: with the head they fit one change of 12. */
    public static final int MAX_CLASSES_PARTS = 10;
    /** Generations of classes kept on record, to go back to. */
    public static final int CLASSES_KEPT = 6;
    /** Changes of the operators that are remembered, so that a repeat takes effect once. */
    public static final int CHANGES_REMEMBERED = 16;
    /** Entries of the calendar. */
    public static final int MAX_ENTRIES = 1_000;
    /** Days for which the ledger is kept. */
    public static final int LEDGER_DAYS = 90;
    /** ms. The leader's part with operators' records is looked at this often. */
    public static final long CLERK_TICK_MS = 500;
    /** ms. What an occurrence has counted is recorded this often at most. */
    public static final long COUNT_EVERY_MS = 2_000;
    /** ms. Entries are gone through this often for occurrences to plan, and whenever one has changed. */
    public static final long PLAN_EVERY_MS = 5_000;
    /** Publications shown by one answer. */
    public static final int MAX_LISTED = 500;
    /** ms. An occurrence is planned this long before its window opens. */
    public static final long PLAN_AHEAD_MS = 3_600_000;
    /** ms. A leader looks back this long for occurrences that passed while nobody led. */
    public static final long LOOK_BACK_MS = 86_400_000;
    /** ms after the publication at which the verdict is given: jobs accepted before it are in every mirror by then, clocks allowed for. */
    public static final long VERDICT_AFTER_MS = 3_000;
    /** ms after the publication at which an occurrence is closed though covered jobs are still open. */
    public static final long CLOSE_AFTER_MS = 3_600_000;
    /** Unfinished covered jobs named in an occurrence's record: 400 names take 4 KiB. */
    public static final int MAX_COVERED_OPEN = 400;
    /** Finals that are read at one time for the count. */
    public static final int MAX_FINALS_READ = 16;
    /** Past occurrences of an entry that its expected want is taken from. */
    public static final int PEAKS_REMEMBERED = 5;
    /** Times its nominal time that a boot usually takes at most (protocol). */
    public static final double BOOT_USUAL_MOST = 1.5;
    /** s before a window opens, beside the longest boot, at which machines for it are rented. */
    public static final double CALENDAR_RENT_SLACK_S = 20;
    /** s after the opening for which machines are kept for work that hasn't come. */
    public static final double CALENDAR_KEEP_S = 120;
    /** ms. The ledger is swept this often. */
    public static final long SWEEP_EVERY_MS = 600_000;
    /** Records removed by one sweep. */
    public static final int SWEEP_MOST = 4;
    /** ms. An operator's command waits this long for a controller's answer: longer than that waits for the store. */
    public static final long OPERATOR_TIMEOUT_MS = 2_500;
    /** Jobs named in an explanation as being ahead. */
    public static final int EXPLAIN_AHEAD = 10;

    // ---- zones
    /** ms. Zones are judged this often. */
    public static final long ZONE_TICK_MS = 1_000;
    /** Parts of a zone's machines that must be gone by the cloud's word for it to count as lost. */
    public static final double ZONE_GONE_SHARE = 0.5;
    /** ms after settling at which a zone's loss is forgotten. */
    public static final long ZONE_FORGOTTEN_MS = 600_000;
    /** ms. The longest that a zone which keeps being lost must hold before work is moved to it. */
    public static final double ZONE_SETTLE_MOST_MS = 600_000;
    /** ms. So long after it got its place, beside the fetch, a replica counts as serving, and the next one of its model may move. */
    public static final long MOVE_STEADY_MS = 12_000;
    /** ms. Heavy images are recorded this often at most, a record of machines at a time. */
    public static final long IMAGES_EVERY_MS = 5_000;
    /** Characters of a record of machines up to which their images are recorded with them; a value may have 8 KiB. */
    public static final int MACHINE_RECORD_CHARS = 7_000;

    // ---- bounds
    /** Connections from us to one address. */
    public static final int MAX_SOCKETS_PER_TARGET = 6;
    /** Connections that other controllers may open to us. */
    public static final int PEER_SOCKETS = 32;
    /** ms. An attempt to connect that has taken longer counts for nothing but its socket: another one may be made. */
    public static final long CONNECT_MS = 1_500;
    /** Calls that may wait for a connection to one address. */
    public static final int MAX_WAITING_CALLS = 200;
    /** Submissions and cancellations that may wait for the store. */
    public static final int MAX_WAITING_COMMITS = 150;
    /** Polls that may wait for a barrier. */
    public static final int MAX_WAITING_POLLS = 300;
    /** Unfinished jobs a controller takes before it answers 429: about 10 MB of records. */
    public static final int MAX_OPEN_JOBS = 4_000;
    /** Tasks of unfinished jobs taken before 429: their placements must fit the heap. */
    public static final long MAX_OPEN_TASKS = 400_000;
    /** Final states kept in memory; older ones are read from the store. */
    public static final int FINAL_CACHE = 5_000;
    /** s. What a user is told to wait when the service can't take a request. */
    public static final int RETRY_AFTER_S = 1;
    /** Connections of the limit that are left to probes, files and whatever else a process opens. */
    public static final int SPARE_SOCKETS = 24;
    /** Parts of the connection limit for connections to workers that are told something at once. */
    public static final double WORKER_CALLS_SHARE = 0.1;
    /** Parts of the connections that users and workers may have; beyond, workers' are closed after each answer, so that a controller
     *  left alone with more workers than connections still has some for users and for the platform's probe. */
    public static final double CROWDED_SHARE = 0.75;
}
