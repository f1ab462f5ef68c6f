/**
 * DOC: What every traffic thread needs at its start.
 */
#ifndef MASTICVANED_THREADS_H
#define MASTICVANED_THREADS_H

#include <apr_network_io.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

/**
 * MvThread_Start() - Run @run on a new thread that takes no signals: they
 * belong to the control thread.
 */
bool MvThread_Start(pthread_t *thread, void *(*run)(void *), void *argument);

/**
 * MvThread_OpenDatagrams() - Socket for many packets at a time.
 * @shared: other threads bind the same port
 * @buffer_bytes: room for packets that were not read yet
 * @fd: set to its descriptor
 *
 * Return: the socket, closed with @pool; NULL with @error set.
 */
apr_socket_t *MvThread_OpenDatagrams(apr_pool_t *pool, const char *address,
                                     uint16_t port, bool shared,
                                     int buffer_bytes, int *fd,
                                     GError **error);

#endif
