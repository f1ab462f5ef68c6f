/**
 * DOC: How long datagrams have waited in a socket before they were read.
 *
 * A process that stands still, or whose VM is suspended, finds datagrams in
 * its sockets whose senders have acted since.  The kernel notes the time of
 * arrival of each; where it does not, or its clock was set meanwhile, a
 * datagram counts as having arrived just after the socket was last empty.
 */
#ifndef MASTICVANED_ARRIVALS_H
#define MASTICVANED_ARRIVALS_H

#include "masticvane/base.h"

/**
 * MvClock_Boot() - Steady clock that also counts the time for which the VM was
 * suspended; for times that are compared with those of other machines.
 */
mv_time_t MvClock_Boot(void);

/**
 * struct mv_clock_pair - Both clocks at one moment.
 * @boot: MvClock_Boot()
 * @real: time of day
 */
typedef struct mv_clock_pair {
    mv_time_t boot;
    mv_time_t real;
} mv_clock_pair_t;

/**
 * struct mv_arrivals - What is known of the arrivals at one socket.
 *
 * Invariant: a datagram that has not been read arrived after @empty.
 *
 * @empty: a moment at which the socket was empty
 * @read_began: begin of the current read
 * @read_ended: end of the current read
 */
typedef struct mv_arrivals {
    mv_clock_pair_t empty;
    mv_clock_pair_t read_began;
    mv_clock_pair_t read_ended;
} mv_arrivals_t;

/** MvArrivals_Open() - To be called when the socket has just been opened. */
void MvArrivals_Open(mv_arrivals_t *arrivals);

/** MvArrivals_BeginRead() - To be called before each read of the socket. */
void MvArrivals_BeginRead(mv_arrivals_t *arrivals);

/** MvArrivals_EndRead() - To be called after each read of the socket. */
void MvArrivals_EndRead(mv_arrivals_t *arrivals);

/**
 * MvArrivals_NoteEmpty() - The current read found no further datagram.
 *
 * To be called after the datagrams of that read were passed to
 * MvArrivals_Waited().
 */
void MvArrivals_NoteEmpty(mv_arrivals_t *arrivals);

/**
 * MvArrivals_Waited() - How long a datagram of the current read has waited.
 * @stamp: the kernel's time of its arrival, a time of day; 0 for none
 *
 * Return: its waiting time until the end of the read; without a usable
 * @stamp the longest possible one.
 */
mv_time_t MvArrivals_Waited(const mv_arrivals_t *arrivals, mv_time_t stamp);

#endif
