#include "masticvane/base.h"

GQuark
MvError_Quark(void)
{
    return g_quark_from_static_string("masticvane-error");
}

void
MvList_Init(mv_list_t *head)
{
    head->next = head;
    head->prev = head;
}

bool
MvList_IsEmpty(const mv_list_t *head)
{
    return head->next == head;
}

void
MvList_InsertBefore(mv_list_t *position, mv_list_t *item)
{
    item->next = position;
    item->prev = position->prev;
    position->prev->next = item;
    position->prev = item;
}

void
MvList_Append(mv_list_t *head, mv_list_t *item)
{
    MvList_InsertBefore(head, item);
}

void
MvList_Remove(mv_list_t *item)
{
    item->prev->next = item->next;
    item->next->prev = item->prev;
    MvList_Init(item);
}
