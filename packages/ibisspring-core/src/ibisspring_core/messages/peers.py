"""The closed set of messages and answers of calls between daemons."""

from __future__ import annotations

from ibisspring_core.errors import Refusal
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages import directory, evacuations, job_control, job_reads, jobs, status
from ibisspring_core.messages.codec import KindCodec

PEER_MESSAGES = KindCodec.from_types(
    Refusal,
    NotLeader,
    directory.Announce,
    directory.Announced,
    directory.CountUsage,
    directory.Depart,
    evacuations.Evacuate,
    evacuations.Evacuated,
    evacuations.EvacuationsRead,
    directory.NameVersion,
    evacuations.ReadEvacuations,
    directory.ReadTable,
    directory.Renew,
    directory.ReplaceTable,
    directory.Retire,
    directory.Retiring,
    directory.TableRead,
    directory.TableReplaced,
    directory.Unchanged,
    directory.UsageCounted,
    directory.VersionNamed,
    directory.View,
    job_reads.BodyRead,
    job_control.ChangeHold,
    job_control.EndAnyJob,
    jobs.EndJob,
    job_control.HoldChanged,
    jobs.JobAccepted,
    jobs.JobEnded,
    job_control.JobRead,
    job_reads.ReadBody,
    job_control.ReadJob,
    job_reads.ReadListed,
    job_reads.ReadResults,
    job_control.ReadShares,
    jobs.ReportWork,
    job_reads.ResultsListed,
    job_reads.ResultsRead,
    job_control.SharesRead,
    jobs.SubmitJob,
    jobs.TakeWork,
    jobs.UnknownJob,
    jobs.Work,
    jobs.WorkReported,
    status.DirectoryStatus,
    status.JobsStatus,
    status.ReadDirectoryStatus,
    status.ReadJobsStatus,
)

__all__ = ["PEER_MESSAGES"]
